#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

/// How a request ended from its caller's view. Only kServedInTime keeps the objective.
enum class request_result : std::uint8_t {
  kServedInTime = 0,
  kServedLate = 1,
  /// Refused and not run.
  kRefused = 2,
  /// It may have run; the error response to the caller states that.
  kUnknown = 3,
  /// It ran and its response was truncated or lost, or the upstream reported a failure.
  kFailed = 4,
};

inline constexpr std::size_t kRequestResults = 5;

/// Name of `value` as a metric label.
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

/// The result of a request served after `latency` that should take at most `limit`: the
/// service's objective latency, or for long work the deadline of its route.
constexpr request_result ServedResult(duration latency, duration limit) {
  return latency <= limit ? request_result::kServedInTime : request_result::kServedLate;
}

}  // namespace bronzeroute
