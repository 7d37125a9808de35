#pragma once

#include <cstdint>

namespace bronzeroute {

/// What a log line is worth when there are more than may be written. The lowest goes first.
enum class log_weight : std::uint8_t {
  /// A request that went as it should.
  kSuccess,
  /// A request that was refused, failed or was repeated.
  kProblem,
  /// A change of what the process believes, its start, stop and dependencies.
  kState,
};

}  // namespace bronzeroute
