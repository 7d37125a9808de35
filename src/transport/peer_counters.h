#pragma once

#include <cstdint>

namespace bronzeroute {

/// Counts of frames between daemons since the start. Read on the event loop.
struct peer_counters {
  /// Frames dropped because their identity was not that of the attempt on their stream.
  std::uint64_t mismatched_frames = 0;
  std::uint64_t attempts_sent = 0;
  std::uint64_t attempts_received = 0;
};

}  // namespace bronzeroute
