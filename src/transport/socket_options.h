#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bronzeroute {

/// Options of a connection that this process opened: small writes leave at once, and a peer
/// that falls silent without a reset ends the connection, also while nothing is being sent.
void SetClientOptions(boost::asio::ip::tcp::socket& socket);

/// False if the peer closed the connection or sent something without being asked.
bool IsQuiet(boost::asio::ip::tcp::socket& socket);

}  // namespace bronzeroute
