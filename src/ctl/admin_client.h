#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bronzeroute {

/// Blocking client of a daemon's admin HTTP.
class admin_client {
 public:
  /// `address` is "ip:port".
  admin_client(std::string address, std::chrono::milliseconds timeout);

  /// GET of an endpoint, for example "status". A response that is not JSON is given as a JSON
  /// string. kUnavailable without a response; kFailedPrecondition with the daemon's text for a
  /// status that is not 2xx.
  absl::StatusOr<web::json::value> Get(std::string_view endpoint) const;
  /// POST without a body; the results are those of `Get`.
  absl::StatusOr<web::json::value> Post(std::string_view endpoint) const;

 private:
  absl::StatusOr<web::json::value> Send(const std::string& method,
                                        std::string_view endpoint) const;

  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
