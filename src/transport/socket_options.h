#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bronzeroute {

/// Options of a connection that this process opened: small writes leave at once, and a peer
/// that falls silent without a reset ends the connection, also while nothing is being sent.
void SetClientOptions(boost::asio::ip::tcp::socket& socket);

/// Makes the kernel drop the opening packets of further connections to a listener, while
/// handshakes under way still complete. Clients repeat a dropped packet after a second.
void DropNewConnections(boost::asio::ip::tcp::acceptor& listener);

/// False if the peer closed the connection or sent something without being asked.
bool IsQuiet(boost::asio::ip::tcp::socket& socket);

}  // namespace bronzeroute
