#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "src/routing/choice_policy.h"

namespace bronzeroute {

/// Baseline: the candidates of a service in turn.
struct policy_round_robin {
  static constexpr std::string_view kName = "round_robin";
  static constexpr bool kOwnUpstreamFirst = false;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& /*random*/) {
    return context.turn % candidates.size();
  }
};

}  // namespace bronzeroute
