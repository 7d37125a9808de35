#include "src/routing/policy_two_choices.h"

#include "src/routing/score_function.h"

namespace bronzeroute {

std::size_t policy_two_choices::Pick(std::span<const candidate> candidates,
                                     const choice_context& context, choice_random& random) {
  const std::size_t count = candidates.size();
  if (count == 1) return 0;
  const std::size_t first = std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  std::size_t second = std::uniform_int_distribution<std::size_t>(0, count - 2)(random);
  if (second >= first) ++second;
  const double first_score = ScoreOf(candidates[first], context).Total();
  const double second_score = ScoreOf(candidates[second], context).Total();
  return second_score < first_score ? second : first;
}

}  // namespace bronzeroute
