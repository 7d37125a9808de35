#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "src/routing/choice_policy.h"

namespace bronzeroute {

/// Baseline: the candidate with the least work in its last report, as it was reported. The
/// first of equals is taken, as in the usual implementation.
struct policy_least_reported {
  static constexpr std::string_view kName = "least_reported";
  static constexpr bool kOwnUpstreamFirst = false;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& /*context*/,
                   choice_random& /*random*/) {
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      if (Reported(candidates[i]) < Reported(candidates[best])) best = i;
    }
    return best;
  }

 private:
  static std::uint32_t Reported(const candidate& row) {
    return row.hint.in_use + row.hint.queued_short + row.hint.queued_long;
  }
};

}  // namespace bronzeroute
