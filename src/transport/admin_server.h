#pragma once

#include <absl/status/status.h>

#include <memory>
#include <string_view>

#include "src/base/time.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_server.h"

namespace bronzeroute {

class http_router;

/// The daemon's HTTP server for operators, upstreams and metrics.
class admin_server : private http_request_handler {
 public:
  /// `router` must outlive the server.
  explicit admin_server(const http_router& router) : router_(router), server_(*this) {}

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address) { return server_.Start(address); }
  /// Not on the event loop.
  void Stop() { server_.Stop(); }
  void Tick(time_point now) { server_.Tick(now); }

 private:
  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& row) override;
  void OnClientDisconnected(const exchange& /*row*/) override {}
  // Never called: responses of the daemon itself are complete before writing starts.
  void OnNothingWritten(const exchange& /*row*/) override {}
  void OnResponseEnded(const exchange& /*row*/) override {}

  const http_router& router_;
  http_server server_;
};

}  // namespace bronzeroute
