#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/time.h"
#include "src/routing/choice_reason.h"
#include "src/routing/explained_candidate.h"

namespace bronzeroute {

/// A choice as an operator can follow it.
struct choice_explanation {
  std::string service;
  std::string_view policy;
  choice_reason reason = choice_reason::kNoMembers;
  std::vector<explained_candidate> candidates;
  /// Age of the hint on the chosen member, if there was one.
  std::optional<duration> chosen_hint_age;

  /// True if a member that was not taken could take the request.
  bool HasAlternative() const;
  /// One line for the choice and one for each candidate.
  std::string ToText() const;
};

}  // namespace bronzeroute
