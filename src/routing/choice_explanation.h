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

  /// By how much the way to the nearest member that was not taken costs more than the way to
  /// the chosen one, bytes included; nothing if none was left over.
  std::optional<duration> OtherCost() const;
  /// One line for the choice and one for each candidate.
  std::string ToText() const;
};

}  // namespace bronzeroute
