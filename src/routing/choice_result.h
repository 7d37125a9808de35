#pragma once

#include <optional>

#include "src/base/strong_id.h"
#include "src/routing/choice_explanation.h"

namespace bronzeroute {

/// The member chosen for an attempt.
struct choice_result {
  /// Nothing if no member may take the attempt; the explanation gives the reason.
  std::optional<member_id> member;
  incarnation_id incarnation;
  /// The attempt is the trial call of an ejected member. To be passed to OnAttemptSent and
  /// OnAttemptEnded.
  bool is_trial = false;
  choice_explanation explanation;
};

}  // namespace bronzeroute
