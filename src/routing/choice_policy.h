#pragma once

#include <concepts>
#include <cstddef>
#include <random>
#include <span>
#include <string_view>

#include "src/routing/candidate.h"
#include "src/routing/choice_context.h"

namespace bronzeroute {

using choice_random = std::mt19937_64;

/// Picks one of at least one candidate; returns its index.
template <typename T>
concept choice_policy = requires(T policy, std::span<const candidate> candidates,
                                 const choice_context& context, choice_random& random) {
  { policy.Pick(candidates, context, random) } -> std::same_as<std::size_t>;
  { T::kName } -> std::convertible_to<std::string_view>;
  /// True if the upstream on the entry's instance is chosen without Pick while it has a free
  /// slot.
  { T::kOwnUpstreamFirst } -> std::convertible_to<bool>;
};

}  // namespace bronzeroute
