#pragma once

#include "src/base/strong_id.h"
#include "src/routing/candidate_fate.h"
#include "src/routing/distance.h"
#include "src/routing/score.h"

namespace bronzeroute {

/// One member of the service in a choice_explanation.
struct explained_candidate {
  member_id id;
  distance where = distance::kSameZone;
  candidate_fate fate = candidate_fate::kNotTaken;
  /// Zero for members that were not eligible.
  score cost{};
};

}  // namespace bronzeroute
