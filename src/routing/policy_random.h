#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "src/routing/choice_policy.h"

namespace bronzeroute {

/// Baseline: any candidate, each with the same probability.
struct policy_random {
  static constexpr std::string_view kName = "random";
  static constexpr bool kOwnUpstreamFirst = false;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& /*context*/,
                   choice_random& random) {
    return std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
  }
};

}  // namespace bronzeroute
