#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/transport/header_list.h"

namespace bronzeroute::standin {

/// A request of a caller or of a worker that calls another service.
struct client_request {
  std::string method = "GET";
  std::string target;
  header_list headers;
  std::string body;
  /// Sends the body in chunks instead of with a length.
  bool is_chunked = false;
  /// Uses a kept connection if there is one, and keeps it afterwards.
  bool reuses_connection = false;
  /// The connection is closed after this time without a response.
  std::chrono::milliseconds patience{5000};
};

/// What a client received; `status` is 0 if the connection ended without a complete response.
struct client_response {
  int status = 0;
  header_list headers;
  std::string body;
};

/// HTTP client on the event loop with one response per request and no retries of its own.
class caller_client {
 public:
  using done = std::function<void(const client_response&)>;

  /// Sends `request` to "ip:port" and calls `on_done` once.
  void Send(const std::string& address, client_request request, done on_done);

 private:
  struct connection;
  class exchange_task;

  std::map<std::string, std::vector<std::shared_ptr<connection>>> kept_;
};

}  // namespace bronzeroute::standin
