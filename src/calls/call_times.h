#pragma once

#include <chrono>

#include "src/base/time.h"

namespace bronzeroute {

/// Time after the deadline in which the owner's own statement on a sent attempt may still
/// arrive: one round trip between regions (24 ms) and one tick (10 ms) at each side.
inline constexpr duration kResponseGrace = std::chrono::milliseconds(50);
/// Longest deadline a caller may ask for.
inline constexpr duration kMaxTimeLimit = std::chrono::hours(1);
/// A longer gap between ticks means that this process did not run: what its entries wait for
/// may be over.
inline constexpr duration kFreezeGap = std::chrono::seconds(3);
/// Queued work of a draining upstream may still start for this long; the rest is refused.
inline constexpr duration kDrainQueueTime = std::chrono::seconds(2);
/// Protected work is cancelled at the upstream only this long after its deadline, so that its
/// key row usually gets a definite result.
inline constexpr duration kProtectedFinishTime = std::chrono::seconds(10);

}  // namespace bronzeroute
