#pragma once

#include <cstdint>
#include <string>

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

/// What the configuration in effect says about a request.
struct route_decision {
  /// kNone, kNotReady, kUnknownService or kUnknownRoute.
  error_kind error = error_kind::kNone;
  /// The service that takes the request; empty after kNotReady and kUnknownRoute.
  std::string service{};
  bool is_protected = false;
  bool is_long = false;
  /// True if a route of the document matched and says "short".
  bool is_marked_short = false;
  duration time_limit{};
  /// True if `time_limit` holds also for a caller that names a later deadline.
  bool limits_caller = false;
  /// Time within which an answer is worth its full value; 0 if the route names none.
  duration objective_latency{};
  /// Upstreams to which the request may be sent; 0 leaves the entry's own limit in place.
  std::uint32_t max_attempts = 0;
  /// Number of the route by host, the same at all daemons; 0 if there is none.
  std::uint64_t route_id = 0;
  /// Rank of the request, 0 for the most important.
  std::uint32_t priority = 0;
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
