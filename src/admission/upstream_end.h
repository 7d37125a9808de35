#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

enum class upstream_result : std::uint8_t {
  /// A complete response that does not count as a failure of the upstream.
  kCompleted,
  /// Connection failed, response missing or truncated, or an error of the upstream itself.
  kFailed,
  /// Cancelled by this process; does not count against the upstream.
  kCancelled,
};

/// How a request ended at the upstream.
struct upstream_end {
  upstream_result result = upstream_result::kCompleted;
  /// From the start at the upstream to the end of the response.
  duration service_time{};
};

}  // namespace bronzeroute
