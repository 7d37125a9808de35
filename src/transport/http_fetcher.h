#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace bronzeroute {

/// A request of the daemon itself to another service.
struct fetch_request {
  std::string method = "GET";
  /// Path with query.
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  /// The request is given up at this time, and its connection closed.
  time_point deadline;
};

/// The whole answer to a `fetch_request`.
struct fetch_response {
  int status = 0;
  std::string body;
};

/// Sends requests to one address and reads their answers whole. Connections are kept and never
/// carry a request after an answer was lost on them. Used on the event loop only.
class http_fetcher {
 public:
  /// The error is kUnavailable if nothing was sent, kUnknown if the request may have taken
  /// effect, kDeadlineExceeded if that and the time is over.
  using done = std::function<void(const absl::StatusOr<fetch_response>&)>;

  /// `address` is "ip:port". An answer above `answer_limit` bytes is an error.
  http_fetcher(std::string address, std::size_t response_limit);
  ~http_fetcher();
  http_fetcher(const http_fetcher&) = delete;
  http_fetcher& operator=(const http_fetcher&) = delete;

  /// `on_done` is called once, later, unless the fetcher is destroyed before.
  void Fetch(fetch_request request, done on_done);
  /// Ends requests whose deadline passed. Call it about every 10 ms.
  void Tick(time_point now);

 private:
  class run;
  struct connection;

  std::string address_;
  std::size_t response_limit_;
  std::vector<std::shared_ptr<run>> running_;
  std::vector<std::shared_ptr<connection>> kept_;
};

}  // namespace bronzeroute
