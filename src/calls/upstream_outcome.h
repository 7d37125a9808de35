#pragma once

#include <cstdint>

namespace bronzeroute {

/// How work that held a slot ended at the upstream.
enum class upstream_outcome : std::uint8_t {
  kCompleted,
  /// The response was a server error (HTTP 500 or above).
  kFailed,
  kConnectFailed,
  /// No complete response was received.
  kLost,
  /// Cancelled before its deadline because its result was no longer needed; does not count
  /// against the upstream.
  kCancelled,
  /// The upstream did not run the request: it was not contacted, or it refused.
  kNotStarted,
};

}  // namespace bronzeroute
