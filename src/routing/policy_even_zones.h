#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "src/routing/choice_policy.h"
#include "src/routing/policy_two_choices.h"

namespace bronzeroute {

/// Baseline: a random zone for each request, and two draws among its candidates.
class policy_even_zones {
 public:
  static constexpr std::string_view kName = "even_zones";
  static constexpr bool kOwnUpstreamFirst = false;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& random) {
    std::vector<std::uint32_t> zones;
    for (const candidate& row : candidates) {
      if (std::ranges::find(zones, row.zone) == zones.end()) zones.push_back(row.zone);
    }
    std::uniform_int_distribution<std::size_t> any(0, zones.size() - 1);
    const std::uint32_t zone = zones[any(random)];
    std::vector<std::size_t> positions;
    std::vector<candidate> members;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].zone != zone) continue;
      positions.push_back(i);
      members.push_back(candidates[i]);
    }
    return positions[draw_.Pick(members, context, random)];
  }

 private:
  policy_two_choices draw_;
};

}  // namespace bronzeroute
