#pragma once

#include <cstdint>

#include "src/base/time.h"
#include "src/routing/distance.h"

namespace bronzeroute {

/// State of the eligible members of one service in one availability zone, from their load
/// hints.
struct zone_load {
  /// Identifies the zone within this process.
  std::uint32_t zone = 0;
  distance where = distance::kSameZone;
  /// Slots open to work, and work in them or in the queues, of members with a fresh hint.
  double slots = 0;
  double occupancy = 0;
  /// Slots in use: `occupancy` without what waits at members whose slots are all in use.
  double in_use = 0;
  /// All members, and those with a hint within its lifetime.
  std::uint32_t members = 0;
  std::uint32_t fresh_members = 0;
  /// Members that a limit on starts keeps from taking work now.
  std::uint32_t limited_members = 0;
  /// Mean service time in microseconds.
  double service_time_us = 0;
};

}  // namespace bronzeroute
