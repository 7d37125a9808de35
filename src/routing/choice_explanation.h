#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/time.h"
#include "src/routing/choice_reason.h"
#include "src/routing/explained_candidate.h"

namespace bronzeroute {

/// What operators are shown about a choice: its reason, and each member of the service with its
/// disposition and score.
struct choice_explanation {
  std::string service;
  std::string_view policy;
  choice_reason reason = choice_reason::kNoMembers;
  std::vector<explained_candidate> candidates;
  /// Regions that the request allows, separated by commas; empty if it has no limit or allows
  /// none.
  std::string allowed_regions;
  /// Age of the hint on the chosen member, if there was one.
  std::optional<duration> chosen_hint_age;

  /// Cost of round trip and billed bytes to the cheapest eligible member that was not selected,
  /// minus that cost for the chosen member, but at least 0. Nothing if no other member was
  /// eligible.
  std::optional<duration> OtherCost() const;
  /// One line for the choice and one for each candidate.
  std::string ToText() const;
};

}  // namespace bronzeroute
