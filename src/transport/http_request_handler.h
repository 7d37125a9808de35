#pragma once

#include <memory>

namespace bronzeroute {

class http_connection;
struct exchange;

/// Answers the requests that an HTTP server reads. All functions are called on the event loop.
class http_request_handler {
 public:
  virtual ~http_request_handler() = default;

  /// A request head was read; the body arrives in the pipe of `row`. Exactly one `Reply` or
  /// `Cut` on `connection` is expected, now or later.
  virtual void OnRequest(const std::shared_ptr<http_connection>& connection,
                         const std::shared_ptr<exchange>& row) = 0;
  /// The connection broke before the answer to `row` was written whole. Nothing is expected
  /// any more.
  virtual void OnClientDisconnected(const exchange& row) = 0;
  /// The answer to `row` broke off before any byte of it was written. Another `Reply` on its
  /// connection is expected.
  virtual void OnNothingWritten(const exchange& row) = 0;
  /// The answer to `row` was written whole, or was cut as asked.
  virtual void OnResponseEnded(const exchange& row) = 0;
};

}  // namespace bronzeroute
