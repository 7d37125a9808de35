#pragma once

#include <string>

namespace bronzeroute {

/// Usage cap of one account over all daemons together: a token bucket, one token a request.
struct usage_cap {
  std::string account;
  /// Requests per second, above 0.
  double rate_per_s = 0;
  double burst = 0;

  friend bool operator==(const usage_cap&, const usage_cap&) = default;
};

}  // namespace bronzeroute
