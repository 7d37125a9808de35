#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bronzeroute {

/// Sets the options of a connection that this process opened: small writes are sent at once,
/// and the connection ends when the peer stops responding without a reset, also while it is
/// idle.
void SetClientOptions(boost::asio::ip::tcp::socket& socket);

/// Makes the kernel drop the SYN packets of new connections to a listener, while handshakes in
/// progress still complete. Clients retransmit a dropped SYN after a second.
void DropNewConnections(boost::asio::ip::tcp::acceptor& listener);

/// True if the connection is open and no unread bytes are pending. False if the peer closed it
/// or sent unsolicited bytes.
bool IsReusable(boost::asio::ip::tcp::socket& socket);

/// True if the peer closed or broke the connection and all bytes from it were read.
bool HasPeerLeft(boost::asio::ip::tcp::socket& socket);

}  // namespace bronzeroute
