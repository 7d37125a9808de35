#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace bronzeroute {

/// A blocking TCP socket on the loopback address, with which tests control every byte and every
/// close. Reading throws if a connection that a test opened gets neither a byte nor its end for
/// 30 s.
class raw_socket {
 public:
  explicit raw_socket(int handle = -1) : handle_(handle) {}
  raw_socket(raw_socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
  raw_socket& operator=(raw_socket&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~raw_socket() { Close(); }

  /// Listens on a free port.
  static raw_socket Listen(std::uint16_t& port) {
    raw_socket result(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address = Loopback(0);
    (void)::bind(result.handle_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::listen(result.handle_, 64);
    socklen_t size = sizeof address;
    ::getsockname(result.handle_, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return result;
  }
  /// Returns an invalid socket if the connection fails, or is not established within `limit` if
  /// one is given.
  static raw_socket Connect(std::uint16_t port, timeval limit = {}) {
    raw_socket result(::socket(AF_INET, SOCK_STREAM, 0));
    ::setsockopt(result.handle_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    constexpr timeval kReceiveLimit{.tv_sec = 30, .tv_usec = 0};
    ::setsockopt(result.handle_, SOL_SOCKET, SO_RCVTIMEO, &kReceiveLimit, sizeof kReceiveLimit);
    sockaddr_in address = Loopback(port);
    if (::connect(result.handle_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      result.Close();
    }
    return result;
  }
  /// Accepts the next connection; returns an invalid socket once the listener was shut down.
  raw_socket Accept() const { return raw_socket(::accept(handle_, nullptr, nullptr)); }

  void SetNoDelay() const {
    const int on = 1;
    ::setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  bool valid() const { return handle_ >= 0; }
  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Up to `max` bytes; empty once the other side closed or broke the connection.
  std::string Receive(std::size_t max = 65536) const {
    std::string bytes(max, '\0');
    const ssize_t size = ::recv(handle_, bytes.data(), bytes.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      throw std::runtime_error("neither a byte nor the end of the connection in time");
    }
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return bytes;
  }
  /// All bytes until the other side closes.
  std::string ReceiveAll() const {
    std::string all;
    for (std::string part = Receive(); !part.empty(); part = Receive()) all += part;
    return all;
  }
  /// `size` bytes, or fewer if the other side closes.
  std::string ReceiveExactly(std::size_t size) const {
    std::string all;
    for (std::string part; all.size() < size; all += part) {
      part = Receive(size - all.size());
      if (part.empty()) break;
    }
    return all;
  }
  /// All bytes up to and including `marker`, or fewer if the other side closes.
  std::string ReceiveUntil(std::string_view marker) const {
    std::string all;
    while (all.find(marker) == std::string::npos) {
      const std::string part = Receive(1);
      if (part.empty()) break;
      all += part;
    }
    return all;
  }
  void Shutdown() const { ::shutdown(handle_, SHUT_RDWR); }
  /// Closes with a reset instead of an orderly end.
  void Reset() {
    const linger none{1, 0};
    ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    Close();
  }
  void Close() {
    if (handle_ >= 0) ::close(std::exchange(handle_, -1));
  }

 private:
  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
  }

  int handle_;
};

/// A port that nothing listens on at the moment.
inline std::uint16_t FreePort() {
  std::uint16_t port = 0;
  raw_socket::Listen(port).Close();
  return port;
}

}  // namespace bronzeroute
