#pragma once

#include "src/base/strong_id.h"
#include "src/routing/candidate_disposition.h"
#include "src/routing/distance.h"
#include "src/routing/score.h"

namespace bronzeroute {

/// One member of the service in a choice_explanation.
struct explained_candidate {
  member_id id;
  distance where = distance::kSameZone;
  candidate_disposition disposition = candidate_disposition::kNotSelected;
  /// Zero for members that were not eligible.
  score cost{};
};

}  // namespace bronzeroute
