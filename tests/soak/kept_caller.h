#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace bronzeroute::testing {

/// Result of one request of a kept_caller.
struct kept_response {
  /// A complete response arrived.
  bool complete = false;
  int status = 0;
  std::string execution;
  /// The mark that the upstream echoed.
  std::string echo;
  /// Reason why there is no complete response.
  std::string error;
};

/// A caller that keeps its connection alive and reuses it until the daemon closes it.
class kept_caller {
 public:
  /// `address` is the daemon's address for callers, "ip:port".
  explicit kept_caller(std::string address) : address_(std::move(address)), socket_(loop_) {}

  /// Sends a request with `mark` in X-Mark and X-Echo, and waits for its response for at most
  /// 10 s.
  kept_response Send(const std::string& method, const std::string& path,
                     const std::string& mark, const std::string& deadline_ms);

 private:
  bool Connect();

  std::string address_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace bronzeroute::testing
