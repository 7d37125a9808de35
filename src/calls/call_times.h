#pragma once

#include <chrono>

#include "src/base/time.h"

namespace bronzeroute {

/// Time after the deadline during which the entry still waits for the owner's report on a sent
/// attempt: one round trip between regions (24 ms) and one tick (10 ms) at each side.
inline constexpr duration kResponseGrace = std::chrono::milliseconds(50);
/// Longest time for which a call waits for a token of its account; a quarter of the time to its
/// objective if that is less.
inline constexpr duration kMaxUsageWait = std::chrono::milliseconds(150);
/// Longest time limit that a caller may request.
inline constexpr duration kMaxTimeLimit = std::chrono::hours(1);
/// A longer gap between ticks means that this process was suspended: entries may have given up
/// on the attempts queued here.
inline constexpr duration kFreezeGap = std::chrono::seconds(3);
/// Time after the start of a drain during which queued work may still start; the rest is
/// refused.
inline constexpr duration kDrainQueueTime = std::chrono::seconds(2);
/// Protected work is cancelled at the upstream only this long after its deadline, so that the
/// key table usually gets a definite result for its key.
inline constexpr duration kProtectedFinishTime = std::chrono::seconds(10);

}  // namespace bronzeroute
