#pragma once

#include <cstdint>

namespace bronzeroute {

/// Totals of the owner since the start of the process.
struct owner_counters {
  std::uint64_t attempts = 0;
  std::uint64_t started = 0;
  std::uint64_t refused = 0;
  std::uint64_t duplicates = 0;
  /// Suspensions of this process longer than `kFreezeGap`.
  std::uint64_t freezes = 0;
  /// Events of the upstream client that matched no running attempt.
  std::uint64_t dropped_events = 0;
};

}  // namespace bronzeroute
