#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/service_spec.h"
#include "src/routing/choice_policy.h"
#include "src/routing/choice_request.h"
#include "src/routing/choice_result.h"
#include "src/routing/hint_table.h"
#include "src/routing/score_function.h"

namespace bronzeroute {

/// Chooses the member that an entry sends an attempt to. The choice rests on hints, so the
/// owner may still refuse; Choose is then called again with that member in `excluded`.
template <choice_policy Policy>
class routing_system {
 public:
  explicit routing_system(std::uint64_t seed, Policy policy = Policy(),
                          transfer_cost costs = {})
      : policy_(std::move(policy)), random_(seed), table_(costs) {}

  void OnMembers(std::span<const member_row> members, member_id own, std::string_view region,
                 std::string_view availability_zone, time_point now) {
    table_.OnMembers(members, own, region, availability_zone, now);
  }

  /// See hint_table.
  void SetEvacuated(const std::set<std::string, std::less<>>& zones) {
    table_.SetEvacuated(zones);
  }

  /// True if choices prefer `member`; see hint_table.
  bool IsPreferred(member_id member) const { return table_.IsPreferred(member); }

  /// To be called for every hint, also of the own upstream.
  void OnHint(member_id member, incarnation_id incarnation, const load_hint& hint,
              time_point now) {
    table_.OnHint(member, incarnation, hint, now);
  }

  /// `member` replied with a later incarnation than that of its row.
  void OnNewerIncarnation(member_id member, incarnation_id incarnation) {
    table_.OnNewerIncarnation(member, incarnation);
  }

  /// Work for `member` is expected, for example a call with an idempotency key that names it.
  void OnWorkExpected(member_id member, time_point now) { table_.OnWorkExpected(member, now); }

  void OnAttemptSent(member_id member, bool is_trial, time_point now) {
    table_.OnAttemptSent(member, is_trial, now);
  }

  void OnAttemptEnded(member_id member, attempt_end outcome, bool is_trial, time_point now) {
    table_.OnAttemptEnded(member, outcome, is_trial, now);
  }

  choice_result Choose(const service_spec& spec, const choice_request& request,
                       std::span<const member_id> excluded, time_point now) {
    choice_result result;
    choice_explanation& explanation = result.explanation;
    explanation.service = spec.name;
    explanation.policy = Policy::kName;
    hint_table::eligible_members eligible;
    table_.Gather(spec, request, excluded, now, eligible, explanation);
    const std::span<const candidate> candidates = eligible.candidates;
    if (candidates.empty()) {
      explanation.reason =
          eligible.any_member ? choice_reason::kNoEligibleMember : choice_reason::kNoMembers;
      return result;
    }
    std::size_t pick = 0;
    const std::size_t own = Policy::kOwnUpstreamFirst
                                ? FreeOwnUpstream(candidates, eligible.context)
                                : candidates.size();
    if (eligible.trial) {
      explanation.reason = choice_reason::kTrialCall;
    } else if (candidates.size() == 1) {
      explanation.reason = choice_reason::kOnlyCandidate;
    } else if (own < candidates.size()) {
      explanation.reason = choice_reason::kOwnUpstreamFree;
      pick = own;
    } else {
      explanation.reason = choice_reason::kPolicy;
      pick = policy_.Pick(candidates, eligible.context, random_);
    }
    result.member = candidates[pick].id;
    result.incarnation = candidates[pick].incarnation;
    result.is_trial = eligible.trial;
    if (candidates[pick].hint_received != time_point{}) {
      explanation.chosen_hint_age = now - candidates[pick].hint_received;
    }
    for (const candidate& row : candidates) {
      const auto explained =
          std::ranges::find(explanation.candidates, row.id, &explained_candidate::id);
      explained->cost = ScoreOf(row, eligible.context);
      if (row.id == *result.member) explained->disposition = candidate_disposition::kChosen;
    }
    return result;
  }

  ejection_state StateOf(member_id member, time_point now) const {
    return table_.StateOf(member, now);
  }

 private:
  /// Index of the upstream on this instance if it has a free slot and is not slow; otherwise
  /// the number of candidates.
  static std::size_t FreeOwnUpstream(std::span<const candidate> candidates,
                                     const choice_context& context) {
    const auto own = std::ranges::find(candidates, distance::kSameInstance, &candidate::where);
    if (own == candidates.end() || own->hint.failing ||
        own->service_time_us > kSlowFactor * context.mean_service_time_us ||
        (context.request.is_long && own->hint.running_long + own->hint.queued_long > 0) ||
        Occupancy(*own) + own->sent_since_hint >= own->hint.effective_slots ||
        RateWait(*own, context.now) > 0) {
      return candidates.size();
    }
    return static_cast<std::size_t>(own - candidates.begin());
  }

  Policy policy_;
  choice_random random_;
  hint_table table_;
};

}  // namespace bronzeroute
