#pragma once

#include <cstdint>

namespace bronzeroute {

/// Priority of a log line when the byte budget is short; the lowest is dropped first.
enum class log_weight : std::uint8_t {
  /// A request that was served without error or retry.
  kSuccess,
  /// A request that was refused, failed or retried.
  kProblem,
  /// A change of the daemon's state: membership, configuration, dependencies, start and stop.
  kState,
};

}  // namespace bronzeroute
