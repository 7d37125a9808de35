#pragma once

#include "src/base/time.h"
#include "src/routing/candidate.h"
#include "src/routing/choice_context.h"
#include "src/routing/distance.h"
#include "src/routing/score.h"

namespace bronzeroute {

/// A member whose service time is above this many times the service's mean counts as slow.
/// Below it, differences are mostly chance, and a long queue would multiply them: at a
/// demand peak all entries would choose the member that was fastest most recently.
inline constexpr double kSlowFactor = 1.4;

/// Slots in use, queued work, and own attempts that the hint does not show yet.
double Occupancy(const candidate& row);

/// Round trip of a message to a member at the distance, without load.
duration TypicalRoundTrip(distance where);

/// Microseconds until the limit that the upstream named allows another start.
double RateWait(const candidate& row, time_point now);

/// The expected cost of sending a call to `row`. As the hint ages,
/// the service's means replace its values.
score ScoreOf(const candidate& row, const choice_context& context);

}  // namespace bronzeroute
