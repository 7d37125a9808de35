#pragma once

#include <memory>

namespace bronzeroute {

class http_connection;
struct exchange;

/// Handles the requests of an HTTP server. All functions are called on the event loop.
class http_request_handler {
 public:
  virtual ~http_request_handler() = default;

  /// True if the request of `row`, whose head was read, may be handled while requests before
  /// and behind it on its connection are unanswered.
  virtual bool RunsConcurrently(const exchange& /*row*/) { return false; }
  /// A request head was read; the body follows in the pipe of `row`. The handler calls
  /// `SendResponse` or `Abort` on `connection` exactly once, now or later.
  virtual void OnRequest(const std::shared_ptr<http_connection>& connection,
                         const std::shared_ptr<exchange>& row) = 0;
  /// The connection broke before the response to `row` was written completely. The handler need
  /// not respond any more.
  virtual void OnClientDisconnected(const exchange& row) = 0;
  /// The response to `row` was truncated before any byte of it was written. The handler calls
  /// `SendResponse` on its connection once more.
  virtual void OnNothingWritten(const exchange& row) = 0;
  /// The response to `row` was written completely, or ended early as requested by the handler.
  virtual void OnResponseEnded(const exchange& row) = 0;
};

}  // namespace bronzeroute
