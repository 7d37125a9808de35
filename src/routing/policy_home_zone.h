#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "src/routing/choice_policy.h"
#include "src/routing/policy_two_choices.h"

namespace bronzeroute {

/// Baseline: as policy_two_choices, but never leaves the zone while it has a candidate.
class policy_home_zone {
 public:
  static constexpr std::string_view kName = "home_zone";
  static constexpr bool kOwnUpstreamFirst = true;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& random) {
    std::vector<std::size_t> positions;
    std::vector<candidate> home;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const distance where = candidates[i].where;
      if (where != distance::kSameInstance && where != distance::kSameZone) continue;
      positions.push_back(i);
      home.push_back(candidates[i]);
    }
    if (home.empty()) return draw_.Pick(candidates, context, random);
    return positions[draw_.Pick(home, context, random)];
  }

 private:
  policy_two_choices draw_;
};

}  // namespace bronzeroute
