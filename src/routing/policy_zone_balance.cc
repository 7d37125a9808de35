#include "src/routing/policy_zone_balance.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

#include "src/routing/score_function.h"

namespace bronzeroute {
namespace {

// Age from which a hint says nothing about the load; see score_function.cc.
constexpr duration kHintLifetime = std::chrono::milliseconds(1000);
// Share of failed attempts from which a member does not count as able to serve.
constexpr double kFailing = 0.3;
// Bounds the memory; a deployment has a few dozen services. The shares of a few seconds are
// lost when it is exceeded.
constexpr std::size_t kMaxServices = 1024;

bool IsHome(distance where) {
  return where == distance::kSameInstance || where == distance::kSameZone;
}

bool CanServe(const candidate& row, const choice_context& context) {
  return !row.hint.failing && row.failure_share < kFailing &&
         row.service_time_us <= kSlowFactor * context.mean_service_time_us &&
         RateWait(row, context.now) <= 0;
}

}  // namespace

void policy_zone_balance::Measure(std::span<const candidate> candidates, time_point now) {
  zones_.clear();
  for (const candidate& row : candidates) {
    auto found = std::ranges::find(zones_, row.zone, &zone_load::zone);
    if (found == zones_.end()) {
      zones_.push_back({.zone = row.zone, .where = row.where});
      found = zones_.end() - 1;
    }
    ++found->members;
    const bool is_fresh =
        row.hint_received != time_point{} && now - row.hint_received < kHintLifetime;
    if (!is_fresh || row.hint.effective_slots == 0) continue;
    ++found->fresh_members;
    found->slots += row.hint.effective_slots;
    const double occupancy = Occupancy(row) + row.sent_since_hint;
    found->occupancy += occupancy;
    found->in_use += std::min<double>(occupancy, row.hint.effective_slots);
    found->service_time_us += row.service_time_us;
    if (RateWait(row, now) > 0) ++found->limited_members;
  }
  for (zone_load& zone : zones_) {
    if (zone.fresh_members > 0) zone.service_time_us /= zone.fresh_members;
  }
}

std::size_t policy_zone_balance::PickIn(std::span<const std::size_t> subset,
                                        std::span<const candidate> candidates,
                                        const choice_context& context, choice_random& random) {
  picked_.clear();
  for (const std::size_t index : subset) picked_.push_back(candidates[index]);
  return subset[draw_.Pick(picked_, context, random)];
}

std::size_t policy_zone_balance::Pick(std::span<const candidate> candidates,
                                      const choice_context& context, choice_random& random) {
  if (balances_.size() >= kMaxServices) balances_.clear();
  zone_balance& balance = balances_[std::string(context.service)];
  Measure(candidates, context.now);
  // The members that a further attempt excludes are missing from its candidates.
  if (!context.is_further_attempt) balance.Update(zones_, context.now);
  // A zone whose members all fail or are slow or limited may have free slots all the same: the
  // scores weigh that.
  const bool has_home = std::ranges::any_of(candidates, [&context](const candidate& row) {
    return IsHome(row.where) && CanServe(row, context);
  });
  if (!balance.IsInformed() || !has_home) return draw_.Pick(candidates, context, random);
  subset_.clear();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const candidate& row = candidates[i];
    const bool is_allowed = IsHome(row.where) || balance.MayLeaveTo(row.zone) ||
                            (context.is_further_attempt && row.where == distance::kSameRegion &&
                             balance.HasRoom(row.zone));
    if (is_allowed) subset_.push_back(i);
  }
  const std::size_t picked = PickIn(subset_, candidates, context, random);
  const candidate& row = candidates[picked];
  balance.OnSent(IsHome(row.where) ? std::nullopt : std::optional(row.zone));
  return picked;
}

}  // namespace bronzeroute
