#pragma once

#include <cstdint>

namespace bronzeroute {

/// How an attempt ended, as seen by the entry.
enum class attempt_outcome : std::uint8_t {
  kCompleted,
  /// The response was a server error (HTTP 500 or above).
  kFailed,
  kRefused,
  /// Nothing of the attempt was sent.
  kNotSent,
  /// After the attempt was sent, the link broke or the owner lost its connection to the
  /// upstream.
  kLost,
  /// The response began and ended early.
  kTruncated,
  kTimedOut,
  /// The caller disconnected.
  kCancelled,
};

}  // namespace bronzeroute
