#include "src/routing/policy_two_choices.h"

#include <limits>
#include <utility>

#include "src/routing/distance.h"
#include "src/routing/score_function.h"

namespace bronzeroute {

std::size_t policy_two_choices::Pick(std::span<const candidate> candidates,
                                     const choice_context& context, choice_random& random) {
  std::size_t best = 0;
  double best_score = std::numeric_limits<double>::infinity();
  for (const distance where : {distance::kSameInstance, distance::kSameZone,
                               distance::kSameRegion, distance::kOtherRegion}) {
    group_.clear();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].where == where) group_.push_back(i);
    }
    for (std::size_t drawn = 0; drawn < 2 && drawn < group_.size(); ++drawn) {
      std::uniform_int_distribution<std::size_t> rest(drawn, group_.size() - 1);
      std::swap(group_[drawn], group_[rest(random)]);
      const double total = ScoreOf(candidates[group_[drawn]], context).Total();
      if (total < best_score) {
        best = group_[drawn];
        best_score = total;
      }
    }
  }
  return best;
}

}  // namespace bronzeroute
