#pragma once

#include <cstdint>

namespace bronzeroute {

/// How work that held a slot ended.
enum class upstream_outcome : std::uint8_t {
  kCompleted,
  /// Answered with a server error (HTTP 500 or above).
  kFailed,
  kConnectFailed,
  /// No complete response came.
  kLost,
  /// Cancelled before its deadline because nobody waits; says nothing about the upstream.
  kCancelled,
  /// The slot was given back without contacting the upstream.
  kNotStarted,
};

}  // namespace bronzeroute
