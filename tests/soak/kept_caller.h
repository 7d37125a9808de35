#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace bronzeroute::testing {

/// What one request of a kept caller came to.
struct kept_response {
  /// A whole answer arrived.
  bool complete = false;
  int status = 0;
  std::string execution;
  /// The mark that the upstream echoed.
  std::string echo;
  /// Why there is no whole answer.
  std::string error;
};

/// A caller that uses its connection for as long as the daemon keeps it open.
class kept_caller {
 public:
  /// `address` is the daemon's address for callers, "ip:port".
  explicit kept_caller(std::string address) : address_(std::move(address)), socket_(loop_) {}

  /// Sends a request marked `mark` and waits for its answer, for 10 s at most.
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
