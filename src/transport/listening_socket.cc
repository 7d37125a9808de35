#include "src/transport/listening_socket.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <string>

namespace bronzeroute {
namespace {

bool IsListening(int descriptor) {
  int value = 0;
  socklen_t size = sizeof(value);
  return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &value, &size) == 0 && value != 0;
}

std::uint16_t LocalPort(int descriptor) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
  }
  return 0;
}

// The descriptor that listens on `port`, or -1. All TCP ports of a daemon differ.
int FindListener(std::uint16_t port) {
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const std::string name = entry.path().filename();
    int descriptor = -1;
    std::from_chars(name.data(), name.data() + name.size(), descriptor);
    if (descriptor >= 0 && IsListening(descriptor) && LocalPort(descriptor) == port) {
      return descriptor;
    }
  }
  return -1;
}

}  // namespace

bool EndListening(std::string_view address) {
  const std::string_view digits = address.substr(address.rfind(':') + 1);
  std::uint16_t port = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const int descriptor = FindListener(port);
  if (descriptor < 0) return true;
  pollfd waiting{.fd = descriptor, .events = POLLIN, .revents = 0};
  if (poll(&waiting, 1, 0) > 0) return false;
  shutdown(descriptor, SHUT_RD);
  return true;
}

}  // namespace bronzeroute
