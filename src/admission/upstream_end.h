#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

enum class upstream_result : std::uint8_t {
  /// A complete response that does not speak against the upstream's health.
  kCompleted,
  /// Connect failed, response missing or cut, or an error of the upstream itself.
  kFailed,
  /// Cancelled from this side; says nothing about the upstream.
  kCancelled,
};

/// How a request ended at the upstream.
struct upstream_end {
  upstream_result result = upstream_result::kCompleted;
  /// From the start at the upstream to the end of the response.
  duration service_time{};
};

}  // namespace bronzeroute
