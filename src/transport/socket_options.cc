#include "src/transport/socket_options.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>

namespace bronzeroute {
namespace {

// Unacknowledged bytes end the connection after this time. It is longer than phases of packet
// loss on a working link, and shorter than the 6 s within which a configuration version must
// be in effect everywhere.
constexpr int kUnackedMs = 3000;
// Time until the first keepalive probe on an idle connection, and interval between probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
// Unacknowledged probes that end the connection. With the times above this takes 3 s, the same
// as for unacknowledged bytes.
constexpr int kProbes = 2;

void Set(boost::asio::ip::tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: without the option the connection works, but its failure is detected
  // later.
  setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

// What the next read from a socket would return.
enum class pending { kNothing, kBytes, kEnd };

pending Peek(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return pending::kBytes;
  const bool is_open = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_open ? pending::kNothing : pending::kEnd;
}

}  // namespace

void SetClientOptions(boost::asio::ip::tcp::socket& socket) {
  Set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnackedMs);
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

void DropNewConnections(boost::asio::ip::tcp::acceptor& listener) {
  // The filter sees each packet from the TCP header on. Byte 13 holds the flags; a packet that
  // opens a connection has SYN set and ACK clear.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSynFlag = 0x02;
  constexpr std::uint32_t kAckFlag = 0x10;
  constexpr std::uint32_t kWholePacket = 0xffffffff;
  std::array<sock_filter, 5> steps = {{
      {BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlagsOffset},
      {BPF_ALU | BPF_AND | BPF_K, 0, 0, kSynFlag | kAckFlag},
      {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, kSynFlag},
      {BPF_RET | BPF_K, 0, 0, 0},
      {BPF_RET | BPF_K, 0, 0, kWholePacket},
  }};
  const sock_fprog program{steps.size(), steps.data()};
  // Errors are ignored: without the filter, a client that connects right before the listener
  // closes receives a reset.
  setsockopt(listener.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool IsReusable(boost::asio::ip::tcp::socket& socket) {
  return Peek(socket) == pending::kNothing;
}

bool HasPeerLeft(boost::asio::ip::tcp::socket& socket) { return Peek(socket) == pending::kEnd; }

}  // namespace bronzeroute
