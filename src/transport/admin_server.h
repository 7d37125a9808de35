#pragma once

#include <absl/status/status.h>
#include <cpprest/http_listener.h>

#include <memory>
#include <string_view>

namespace bronzeroute {

class http_router;

/// The daemon's HTTP server for operators, upstreams and metrics.
class admin_server {
 public:
  /// `router` must outlive the server.
  explicit admin_server(const http_router& router) : router_(router) {}
  ~admin_server() { Stop(); }
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address);
  /// Not on the event loop.
  void Stop();

 private:
  const http_router& router_;
  std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
};

}  // namespace bronzeroute
