#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/transport/header_list.h"

namespace bronzeroute {

/// A request of the daemon itself to another service.
struct fetch_request {
  std::string method = "GET";
  /// Path with query.
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  /// At this time the request is abandoned and its connection closed.
  time_point deadline;
};

/// The complete response to a `fetch_request`.
struct fetch_response {
  int status = 0;
  std::string body;
  header_list fields;
};

/// Sends requests to one address and reads each response completely before reporting it.
/// Connections are reused, except after a lost response. Used on the event loop only.
class http_fetcher {
 public:
  /// The error is kUnavailable if nothing was sent; kUnknown if the request may have taken
  /// effect; kDeadlineExceeded if it may have taken effect and its deadline passed.
  using done = std::function<void(const absl::StatusOr<fetch_response>&)>;
  using fetch_id = std::uint64_t;

  /// `address` is "ip:port". A response body above `response_limit` bytes is an error.
  http_fetcher(std::string address, std::size_t response_limit);
  ~http_fetcher();
  http_fetcher(const http_fetcher&) = delete;
  http_fetcher& operator=(const http_fetcher&) = delete;

  /// `on_done` is called once, later, unless the fetcher is destroyed or the fetch cancelled
  /// before. Returns an identity for `Cancel`, never 0.
  fetch_id Fetch(fetch_request request, done on_done);
  /// True while the fetch runs and a part of its response has arrived.
  bool IsReceiving(fetch_id id) const;
  /// Ends a fetch without a result and closes its connection. Also closes the idle connections,
  /// which may have stopped responding as well. Has no effect once the fetch has ended.
  void Cancel(fetch_id id);
  /// Ends requests whose deadline passed. Call it about every 10 ms.
  void Tick(time_point now);

 private:
  class pending_fetch;
  struct connection;

  std::shared_ptr<pending_fetch> Find(fetch_id id) const;

  std::string address_;
  std::size_t response_limit_;
  fetch_id last_id_ = 0;
  std::vector<std::shared_ptr<pending_fetch>> running_;
  std::vector<std::shared_ptr<connection>> kept_;
};

}  // namespace bronzeroute
