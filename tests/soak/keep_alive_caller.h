#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace bronzeroute::testing {

/// Result of one request of a keep_alive_caller.
struct keep_alive_response {
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
class keep_alive_caller {
 public:
  /// `address` is the daemon's address for callers, "ip:port".
  explicit keep_alive_caller(std::string address)
      : address_(std::move(address)), socket_(loop_) {}

  /// Sends a request with `mark` in X-Mark and X-Echo, and waits for its response for at most
  /// 10 s.
  keep_alive_response Send(const std::string& method, const std::string& path,
                           const std::string& mark, const std::string& deadline_ms);

 private:
  bool Connect();

  std::string address_;
  boost::asio::io_context loop_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace bronzeroute::testing
