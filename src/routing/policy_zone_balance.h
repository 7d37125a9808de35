#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/routing/choice_policy.h"
#include "src/routing/policy_two_choices.h"
#include "src/routing/zone_balance.h"

namespace bronzeroute {

/// Decides first whether a request leaves the zone of this process, by the shares of
/// `zone_balance`, and then chooses among the candidates of that zone as policy_two_choices
/// does. Without fresh hints, and for long work, whose bytes the score weighs, all candidates
/// are compared.
class policy_zone_balance {
 public:
  static constexpr std::string_view kName = "zone_balance";
  static constexpr bool kOwnUpstreamFirst = true;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& context,
                   choice_random& random);

  /// The shares of the services with recent requests.
  const absl::flat_hash_map<std::string, zone_balance>& balances() const { return balances_; }

 private:
  void Measure(std::span<const candidate> candidates, time_point now);
  std::size_t PickIn(std::span<const std::size_t> subset, std::span<const candidate> candidates,
                     const choice_context& context, choice_random& random);

  absl::flat_hash_map<std::string, zone_balance> balances_;
  policy_two_choices draw_;
  std::vector<zone_load> zones_;
  std::vector<std::size_t> subset_;
  std::vector<candidate> picked_;
};

}  // namespace bronzeroute
