#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "src/routing/choice_policy.h"

namespace bronzeroute {

/// The policy that daemons use: two candidates are drawn at random at each distance, and the
/// best score of those drawn wins. Different entries draw differently, so they do not all go to
/// the one upstream that looked idle; a nearer candidate is always among those compared.
class policy_two_choices {
 public:
  static constexpr std::string_view kName = "two_choices";
  static constexpr bool kOwnUpstreamFirst = true;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& random);

 private:
  std::vector<std::size_t> group_;
};

}  // namespace bronzeroute
