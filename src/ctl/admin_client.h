#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bronzeroute {

/// Blocking client of a daemon's admin HTTP endpoints.
class admin_client {
 public:
  /// `address` is "ip:port".
  admin_client(std::string address, std::chrono::milliseconds timeout);

  /// Sends a GET to an endpoint, for example "status". A response that is not JSON is returned
  /// as a JSON string. Errors: kUnavailable if there is no response, kFailedPrecondition with
  /// the daemon's text if the status is not 2xx.
  absl::StatusOr<web::json::value> Get(std::string_view endpoint) const;
  /// Sends a POST without a body. Results and errors are as for `Get`.
  absl::StatusOr<web::json::value> Post(std::string_view endpoint) const;

 private:
  absl::StatusOr<web::json::value> Send(const std::string& method,
                                        std::string_view endpoint) const;

  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
