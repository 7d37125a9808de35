#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "src/routing/choice_policy.h"

namespace bronzeroute {

/// The product's policy: the better score of two candidates drawn at random. Different entries
/// draw differently, so they do not all go to the one upstream that looked idle.
class policy_two_choices {
 public:
  static constexpr std::string_view kName = "two_choices";
  static constexpr bool kOwnUpstreamFirst = true;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& random);
};

}  // namespace bronzeroute
