#include "src/transport/socket_options.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>

namespace bronzeroute {
namespace {

int OptionOf(boost::asio::ip::tcp::socket& socket, int level, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  getsockopt(socket.native_handle(), level, name, &value, &size);
  return value;
}

// Guards against a long-polling read of the log that hangs after the log service stopped
// responding, which would delay new configurations: the connection must end within 3 s.
TEST(SocketOptions, UnresponsivePeerIsDetectedOnIdleConnection) {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket(loop, boost::asio::ip::tcp::v4());
  SetClientOptions(socket);
  EXPECT_EQ(OptionOf(socket, SOL_SOCKET, SO_KEEPALIVE), 1);
  const int idle = OptionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE);
  const int interval = OptionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL);
  const int probes = OptionOf(socket, IPPROTO_TCP, TCP_KEEPCNT);
  EXPECT_LE(idle + interval * probes, 3);
  EXPECT_LE(OptionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 3000);
  EXPECT_EQ(OptionOf(socket, IPPROTO_TCP, TCP_NODELAY), 1);
}

}  // namespace
}  // namespace bronzeroute
