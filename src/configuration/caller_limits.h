#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// What a document allows callers to send and how long they may take; 0 leaves the daemon's own
/// limit in place.
struct caller_limits {
  std::uint64_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
  duration head_time{};
  duration idle_time{};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

}  // namespace bronzeroute
