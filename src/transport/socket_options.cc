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

// Unacknowledged bytes end the connection after this time: longer than packets are lost for on
// a link that still works, shorter than a version may take to be in effect everywhere (6 s).
constexpr int kUnackedMs = 3000;
// A connection on which nothing is sent is probed after this time, and then this often.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
// Probes without an answer that end it; together with the times above 3 s, as for sent bytes.
constexpr int kProbes = 2;

void Set(boost::asio::ip::tcp::socket& socket, int level, int name, int value) {
  // Without an option the connection works, only its failure is seen later.
  setsockopt(socket.native_handle(), level, name, &value, sizeof value);
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
  // The packet starts at the TCP header; byte 13 has the flags, of which only SYN is set when a
  // connection opens.
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
  // Without the filter, a client that connects right before the listener closes is reset.
  setsockopt(listener.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool IsQuiet(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace bronzeroute
