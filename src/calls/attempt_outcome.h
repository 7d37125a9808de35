#pragma once

#include <cstdint>

namespace bronzeroute {

/// How an attempt ended for the entry.
enum class attempt_outcome : std::uint8_t {
  kCompleted,
  /// The upstream answered with a server error (HTTP 500 or above).
  kFailed,
  kRefused,
  /// Nothing was sent.
  kNotSent,
  /// The link broke, or the owner lost the upstream, after the attempt was sent.
  kLost,
  /// The response began and ended early.
  kTruncated,
  kTimedOut,
  /// The caller left.
  kCancelled,
};

}  // namespace bronzeroute
