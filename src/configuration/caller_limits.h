#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Limits that a document sets for the requests of callers. A value of 0 leaves the daemon's
/// built-in limit in place.
struct caller_limits {
  /// Size of the request line and header fields, in bytes.
  std::uint64_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
  /// Time within which a caller must have sent the whole request head.
  duration head_time{};
  /// Time after which an idle connection of a caller is closed.
  duration idle_time{};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

}  // namespace bronzeroute
