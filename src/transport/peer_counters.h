#pragma once

#include <cstdint>

namespace bronzeroute {

/// Counters of the link between daemons since the process started. Read on the event loop.
struct peer_counters {
  /// Frames and responses dropped because they did not belong to the attempt of their stream.
  std::uint64_t mismatched_frames = 0;
  std::uint64_t attempts_sent = 0;
  std::uint64_t attempts_received = 0;
};

}  // namespace bronzeroute
