#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string_view>

#include "src/base/time.h"
#include "src/transport/http_limits.h"

namespace bronzeroute {

class http_connection;
class http_request_handler;

/// Accepts connections on one address and hands their requests to a handler.
class http_server {
 public:
  /// `handler` must outlive the server.
  explicit http_server(http_request_handler& handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address);
  /// Closes the listener and all connections without further calls to the handler. Not on the
  /// event loop.
  void Stop();

  /// On the event loop, like everything below. From now on each connection is closed after its
  /// current response.
  void BeginClosing();
  bool closing() const { return closing_; }
  /// Drops new connections and closes idle ones. The listener itself is closed after a short
  /// time, in which handshakes in progress complete and are accepted.
  void EndListening();

  void SetLimits(const http_limits& limits) { limits_ = limits; }
  const http_limits& limits() const { return limits_; }
  /// Enforces the time limits of connections. Call it about every 10 ms.
  void Tick(time_point now);
  std::size_t connections() const { return connections_.size(); }

  /// Called by `http_connection`.
  http_request_handler& handler() { return handler_; }
  void Forget(http_connection& connection);

 private:
  struct listener;

  void Accept(const std::shared_ptr<listener>& from);
  void Take(boost::asio::ip::tcp::socket socket);
  void CloseListener();

  http_request_handler& handler_;
  http_limits limits_;
  std::shared_ptr<listener> listener_;
  absl::flat_hash_map<http_connection*, std::shared_ptr<http_connection>> connections_;
  time_point next_sweep_;
  bool closing_ = false;
  bool started_ = false;
};

}  // namespace bronzeroute
