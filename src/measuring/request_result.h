#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

/// Result of a request as seen by its caller. Only kServedInTime meets the objective.
enum class request_result : std::uint8_t {
  kServedInTime = 0,
  kServedLate = 1,
  /// Refused and not run.
  kRefused = 2,
  /// May have run; the error response to the caller states so.
  kUnknown = 3,
  /// Ran, but the response was truncated or lost, or the upstream reported a failure.
  kFailed = 4,
};

inline constexpr std::size_t kRequestResults = 5;

/// Metric label value for `value`.
constexpr std::string_view RequestResultName(request_result value) {
  switch (value) {
    case request_result::kServedInTime:
      return "served_in_time";
    case request_result::kServedLate:
      return "served_late";
    case request_result::kRefused:
      return "refused";
    case request_result::kUnknown:
      return "unknown";
    case request_result::kFailed:
      break;
  }
  return "failed";
}

/// Result of a request that was served after `latency`. `limit` is the objective latency of the
/// service, or the deadline of the route for long requests.
constexpr request_result ServedResult(duration latency, duration limit) {
  return latency <= limit ? request_result::kServedInTime : request_result::kServedLate;
}

}  // namespace bronzeroute
