#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzeroute::testing {

/// Fault that a proxy applies to the bytes of its connections.
enum class link_fault : std::uint8_t {
  kNone,
  /// Each chunk of bytes is delayed by the proxy's delay.
  kDelayed,
  /// Bytes towards the server or the client are dropped; those of the other direction pass.
  kDropToServer,
  kDropToClient,
  /// No bytes pass, and no connection is closed.
  kStalled,
};

/// A TCP proxy on loopback in front of one server, with faults that a test turns on and off.
class loopback_proxy {
 public:
  /// Connections to `address()` are forwarded to `server`, "ip:port".
  explicit loopback_proxy(const std::string& server);
  ~loopback_proxy();
  loopback_proxy(const loopback_proxy&) = delete;
  loopback_proxy& operator=(const loopback_proxy&) = delete;

  std::string address() const;
  void SetFault(link_fault fault) { fault_ = fault; }
  void SetDelay(std::chrono::milliseconds delay) { delay_ms_ = delay.count(); }
  /// Resets every open connection on both sides.
  void Reset();

 private:
  struct link;
  struct pump;

  void Accept();

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<link_fault> fault_ = link_fault::kNone;
  std::atomic<std::int64_t> delay_ms_ = 0;
  std::vector<std::weak_ptr<link>> links_;
  std::thread thread_;
};

}  // namespace bronzeroute::testing
