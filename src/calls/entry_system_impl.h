#pragma once

// Definitions of basic_entry_system, included where it is instantiated: in entry_system.cc and
// in tests.

#include <algorithm>
#include <utility>

#include "src/base/concat.h"
#include "src/base/error_response.h"
#include "src/calls/call_times.h"
#include "src/calls/caller_port.h"
#include "src/calls/entry_system.h"
#include "src/calls/issued_key.h"
#include "src/calls/key_home.h"
#include "src/calls/local_owner.h"
#include "src/calls/member_directory.h"
#include "src/calls/owner_message_identity.h"
#include "src/calls/peer_port.h"
#include "src/calls/route_directory.h"
#include "src/calls/upstream_chooser.h"
#include "src/calls/usage_gate.h"
#include "src/routing/choice_request.h"

namespace bronzeroute {
namespace internal {

inline constexpr std::uint32_t kMaxDepth = 9;
/// Bodies above this size in bytes make a request long work.
inline constexpr std::uint64_t kLongBody = 1 << 20;
inline constexpr std::size_t kMaxKeyLength = 255;
/// Number of owners excluded from one call, mostly for lack of an open channel, at which the
/// call is refused.
inline constexpr std::size_t kMaxExcluded = 16;

/// Number of times one call is sent again to an owner that reported a later incarnation.
inline constexpr std::uint32_t kMaxLaterIncarnations = 3;

/// Maximum number of services whose retry budgets are kept.
inline constexpr std::size_t kMaxBudgets = 1024;

inline bool IsServerError(int status) { return status >= 500; }

}  // namespace internal

template <typename Rules>
basic_entry_system<Rules>::basic_entry_system(const self_identity& self, caller_port& callers,
                                              peer_port& peers, local_owner& local,
                                              upstream_chooser& chooser,
                                              member_directory& members,
                                              route_directory& routes, std::uint64_t seed)
    : self_(self),
      callers_(callers),
      peers_(peers),
      local_(local),
      chooser_(chooser),
      members_(members),
      routes_(routes),
      random_(seed) {}

template <typename Rules>
call_id basic_entry_system<Rules>::OnCallerRequest(const caller_request& request,
                                                   time_point now) {
  const call_id id{self_.id, self_.incarnation, next_sequence_++};
  ++counters_.calls;
  call_row row;
  row.exchange = request.exchange;
  row.method = request.method;
  row.key = request.key;
  row.depth = request.depth;
  row.content_length = request.content_length;
  row.record.id = id;
  row.record.path = request.path;
  row.record.request_id = request.request_id;
  row.record.caller_try = request.caller_try;
  row.record.has_key = !request.key.empty();
  row.record.received = now;
  row.record.deadline = now;
  const error_kind error = Classify(request, now, row);
  calls_.emplace(id.sequence, std::move(row));
  by_exchange_[request.exchange] = id.sequence;
  if (error != error_kind::kNone) {
    EndWithError(id.sequence, error, 0, false, now);
  } else {
    const call_row& accepted = calls_.find(id.sequence)->second;
    if (accepted.has_accounts) callers_.SetAccount(request.exchange, accepted.record.account);
    StartWithinUsageCap(id.sequence, now);
  }
  return id;
}

template <typename Rules>
void basic_entry_system<Rules>::StartWithinUsageCap(std::uint64_t sequence, time_point now) {
  call_row& row = calls_.find(sequence)->second;
  if (usage_ == nullptr || row.record.account.empty()) {
    StartFirstAttempt(sequence, now);
    return;
  }
  const time_point wait_until = now + std::min(kMaxUsageWait, (row.objective - now) / 4);
  const usage_decision decision =
      usage_->Acquire(row.record.account, sequence, wait_until, now);
  switch (decision.state) {
    case usage_state::kPending:
      row.awaits_usage = true;
      break;
    case usage_state::kGranted:
      row.token_expires = decision.expires;
      StartFirstAttempt(sequence, now);
      break;
    case usage_state::kDenied:
      EndWithError(sequence, error_kind::kUsageCapReached, 0, false, now,
                   decision.retry_at - now);
      break;
  }
}

template <typename Rules>
void basic_entry_system<Rules>::StartFirstAttempt(std::uint64_t sequence, time_point now) {
  BudgetOf(calls_.find(sequence)->second.record.service).CountFirstAttempt(now);
  StartAttempt(sequence, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnUsageGranted(std::uint64_t call,
                                               const usage_decision& decision, time_point now) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.awaits_usage) return;
  found->second.awaits_usage = false;
  found->second.token_expires = decision.expires;
  StartFirstAttempt(call, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnUsageDenied(std::uint64_t call,
                                              const usage_decision& decision, time_point now) {
  const auto found = calls_.find(call);
  if (found == calls_.end() || !found->second.awaits_usage) return;
  found->second.awaits_usage = false;
  EndWithError(call, error_kind::kUsageCapReached, 0, false, now, decision.retry_at - now);
}

template <typename Rules>
error_kind basic_entry_system<Rules>::Classify(const caller_request& request, time_point now,
                                               call_row& row) {
  if (request.depth > internal::kMaxDepth) return error_kind::kTooDeep;
  if (request.caller_try == 0) return error_kind::kBadHeader;
  if (request.key.size() > internal::kMaxKeyLength) return error_kind::kFieldTooLarge;
  if (IsIssuedKey(request.key) && !ParseIssuedKey(request.key)) return error_kind::kBadKey;
  const route_decision route = routes_.Find(request);
  row.record.service = route.service;
  row.record.config_version = route.config_version;
  row.record.account = route.account;
  if (route.error != error_kind::kNone) return route.error;
  // A request with a key may run at most once, whatever the configuration of the route is.
  row.record.is_protected = route.is_protected || !request.key.empty();
  row.record.is_long =
      route.is_long || (request.content_length ? *request.content_length > internal::kLongBody
                                               : !route.is_marked_short);
  row.priority = route.priority;
  row.account_priority = route.account_priority;
  row.has_accounts = route.has_accounts;
  row.regions = route.regions;
  row.route_id = route.route_id;
  row.max_admitted = route.max_attempts == 0 ? kMaxAttempts : route.max_attempts;
  row.record.deadline =
      std::min({request.deadline.value_or(now + route.time_limit), now + kMaxTimeLimit,
                route.limits_caller ? now + route.time_limit : now + kMaxTimeLimit});
  row.objective = route.objective_latency > duration(0) ? now + route.objective_latency
                                                        : row.record.deadline;
  return row.record.deadline <= now ? error_kind::kDeadlineTooShort : error_kind::kNone;
}

template <typename Rules>
auto basic_entry_system<Rules>::PickTarget(call_row& row, time_point now)
    -> std::variant<chosen_target, error_kind> {
  const std::string& service = row.record.service;
  // The configuration may have changed since the request arrived. A region that it no longer
  // allows must not receive the body of a further attempt.
  const region_limit regions =
      row.regions.And(routes_.RegionsOf(row.route_id, row.record.account));
  if (!row.key.empty()) return PickKeyHome(row, regions);
  if (const auto restarted = std::exchange(row.restarted, std::nullopt)) {
    // Without a limit the membership view is not consulted: it may not show the restart yet.
    const bool is_allowed =
        !regions.is_limited() || IsMemberIn(restarted->id, service, regions);
    if (is_allowed && !members_.IsEvacuated(restarted->id)) {
      return chosen_target{*restarted, target_reason::kChosen, {}};
    }
  }
  if (regions.Allows(self_.region) &&
      std::ranges::find(row.excluded, self_.id) == row.excluded.end() &&
      local_.HasFreeSlot(service, row.record.is_long, now)) {
    return chosen_target{{self_.id, self_.incarnation}, target_reason::kOwnUpstreamFree, {}};
  }
  const choice_request request{.is_protected = row.record.is_protected,
                               .is_long = row.record.is_long,
                               .content_length = row.content_length,
                               .deadline = row.record.deadline,
                               .regions = regions};
  const auto chosen = chooser_.Choose(service, request, row.excluded, now);
  choice_summary choice;
  std::optional<duration> other_cost;
  if (const choice_explanation* last = chooser_.LastChoice()) {
    choice = choice_summary(*last);
    other_cost = last->OtherCost();
  }
  if (!chosen) {
    row.record.failed_choice = std::move(choice);
    return regions.is_limited() ? error_kind::kOutsideRegions : error_kind::kNoUpstream;
  }
  return chosen_target{*chosen, target_reason::kChosen, std::move(choice), other_cost};
}

template <typename Rules>
auto basic_entry_system<Rules>::PickKeyHome(const call_row& row, const region_limit& regions)
    -> std::variant<chosen_target, error_kind> {
  const std::string& service = row.record.service;
  const std::vector<member_target> members = members_.LiveMembers(service, regions);
  if (const auto issued = ParseIssuedKey(row.key)) {
    const auto is_home = [&](const member_target& member) {
      return member.id == issued->home.id && member.incarnation == issued->home.incarnation;
    };
    if (std::ranges::any_of(members, is_home)) {
      if (members_.IsEvacuated(issued->home.id)) return error_kind::kEvacuated;
      return chosen_target{issued->home, target_reason::kKeyHome, {}};
    }
    const bool is_live_elsewhere =
        regions.is_limited() && std::ranges::any_of(members_.LiveMembers(service, {}), is_home);
    return is_live_elsewhere ? error_kind::kOutsideRegions : error_kind::kKeyHomeLost;
  }
  const auto home = HomeOfOwnKey(row.key, members);
  if (!home) {
    return regions.is_limited() ? error_kind::kOutsideRegions : error_kind::kNoUpstream;
  }
  if (members_.IsEvacuated(home->id)) return error_kind::kEvacuated;
  return chosen_target{*home, target_reason::kKeyHome, {}};
}

template <typename Rules>
bool basic_entry_system<Rules>::IsMemberIn(member_id id, const std::string& service,
                                           const region_limit& regions) {
  const std::vector<member_target> members = members_.LiveMembers(service, regions);
  return std::ranges::find(members, id, &member_target::id) != members.end();
}

template <typename Rules>
void basic_entry_system<Rules>::StartAttempt(std::uint64_t sequence, time_point now) {
  for (;;) {
    call_row& row = calls_.find(sequence)->second;
    const bool is_full = !HasAttemptsLeft(row) || row.excluded.size() >= internal::kMaxExcluded;
    if (is_full || row.record.deadline <= now) {
      const error_kind kind = row.last_refusal == error_kind::kNone
                                  ? error_kind::kDeadlineTooShort
                                  : row.last_refusal;
      EndWithError(sequence, kind, 0, false, now);
      return;
    }
    auto pick = PickTarget(row, now);
    if (const error_kind* reason = std::get_if<error_kind>(&pick)) {
      // A member that could not be reached took no part in the decision: what is missing is an
      // upstream in an allowed region.
      const bool is_without_refusal = row.last_refusal == error_kind::kNone ||
                                      (*reason == error_kind::kOutsideRegions &&
                                       row.last_refusal == error_kind::kPeerUnreachable);
      const error_kind kind = is_without_refusal ? *reason : row.last_refusal;
      EndWithError(sequence, kind, 0, false, now);
      return;
    }
    chosen_target& chosen = std::get<chosen_target>(pick);
    const bool may_decline = row.attempts_sent + 1 < kMaxAttempts &&
                             BudgetOf(row.record.service).CanAcquireAfterRefusal(now);
    const attempt_head head{.id = {row.record.id, ++row.last_attempt},
                            .target = chosen.target.id,
                            .target_incarnation = chosen.target.incarnation,
                            .service = row.record.service,
                            .method = row.method,
                            .path = row.record.path,
                            .key = row.key,
                            .caller_try = row.record.caller_try,
                            .depth = row.depth,
                            .is_protected = row.record.is_protected,
                            .is_long = row.record.is_long,
                            .content_length = row.content_length,
                            .deadline = row.record.deadline,
                            .objective = row.objective,
                            .route_id = row.route_id,
                            .priority = row.priority,
                            .account = row.record.account,
                            .account_priority = row.account_priority,
                            .other_cost = may_decline ? chosen.other_cost : std::nullopt,
                            .request_id = row.record.request_id,
                            .config_version = row.record.config_version};
    const bool is_local =
        chosen.target.id == self_.id && chosen.target.incarnation == self_.incarnation;
    row.open_attempt = head.id.number;
    row.record.attempts.push_back({.target = chosen.target,
                                   .reason = chosen.reason,
                                   .sent = now,
                                   .ended = now,
                                   .choice = std::move(chosen.choice)});
    attempts_[head.id] = attempt_row{.target = chosen.target, .is_local = is_local};
    const exchange_id exchange = row.exchange;
    if (is_local || peers_.SendAttempt(exchange, head)) {
      ++row.attempts_sent;
      ++counters_.attempts;
      chooser_.OnAttemptSent(chosen.target, now);
      // The owner may report during this call, which may end the call of the caller and
      // invalidate `row`.
      if (is_local) local_.OnLocalAttempt(exchange, head, now);
      return;
    }
    // Nothing was sent, so no upstream has done any work: the next candidate needs no retry
    // budget.
    attempts_.erase(head.id);
    row.open_attempt = 0;
    row.record.attempts.back().result = error_kind::kPeerUnreachable;
    row.excluded.push_back(chosen.target.id);
    row.last_refusal = error_kind::kPeerUnreachable;
    if (!row.key.empty()) {
      EndWithError(sequence, error_kind::kPeerUnreachable, 0, false, now);
      return;
    }
  }
}

template <typename Rules>
auto basic_entry_system<Rules>::FindOpen(const owner_message_identity& from,
                                         bool any_incarnation) -> attempt_row* {
  const auto found = attempts_.find(from.attempt);
  // The incarnation of the owner in this process may have been bumped since the attempt began.
  const bool matches = found != attempts_.end() && found->second.target.id == from.owner &&
                       (any_incarnation || found->second.is_local ||
                        found->second.target.incarnation == from.owner_incarnation);
  if (matches) return &found->second;
  ++counters_.dropped_responses;
  return nullptr;
}

template <typename Rules>
void basic_entry_system<Rules>::CloseAttempt(const attempt_id& id, attempt_outcome outcome,
                                             error_kind result, time_point now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const member_target target = found->second.target;
  attempts_.erase(found);
  call_row& row = calls_.find(id.call.sequence)->second;
  row.open_attempt = 0;
  row.record.attempts.back().ended = now;
  row.record.attempts.back().result = result;
  chooser_.OnAttemptEnded(target, outcome, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnAttemptAdmitted(const owner_message_identity& from,
                                                  const load_hint& hint, time_point now) {
  if (FindOpen(from, false) == nullptr) return;
  ++calls_.find(from.attempt.call.sequence)->second.attempts_admitted;
  chooser_.OnHint({from.owner, from.owner_incarnation}, hint, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnAttemptRefused(const owner_message_identity& from,
                                                 error_kind kind, int recorded_status,
                                                 const load_hint& hint, time_point now) {
  // The refusing process is a later incarnation than the one addressed, and reports its own.
  const bool any_incarnation = kind == error_kind::kWrongIncarnation;
  const attempt_row* const open = FindOpen(from, any_incarnation);
  if (open == nullptr) return;
  const bool names_later_incarnation =
      any_incarnation && open->target.incarnation != from.owner_incarnation;
  chooser_.OnHint({from.owner, from.owner_incarnation}, hint, now);
  const std::uint64_t sequence = from.attempt.call.sequence;
  call_row& row = calls_.find(sequence)->second;
  if (row.response_started || kind == error_kind::kDuplicateAttempt) {
    // A refusal after the start of the response cannot be correct. The refusal of a duplicate
    // carries no information about the original attempt, whose end is still to be reported.
    ++counters_.dropped_responses;
    return;
  }
  const bool is_lost = kind == error_kind::kNone || kind == error_kind::kAnswerLost ||
                       kind == error_kind::kAnswerCut || kind == error_kind::kDeadlineExceeded;
  if (is_lost) {
    CloseAttempt(from.attempt, attempt_outcome::kLost, error_kind::kAnswerLost, now);
    row.excluded.push_back(from.owner);
    EndAfterLoss(sequence, now);
    return;
  }
  CloseAttempt(from.attempt, attempt_outcome::kRefused, kind, now);
  if (names_later_incarnation) {
    chooser_.OnNewerIncarnation({from.owner, from.owner_incarnation});
  }
  if (names_later_incarnation && row.key.empty() &&
      row.later_incarnations < internal::kMaxLaterIncarnations) {
    // The owner restarted, which does not count against its new incarnation. The call is sent
    // to that incarnation: it reaches the membership view only later, and after a mass restart
    // other owners would most likely refuse for the same reason.
    ++row.later_incarnations;
    --row.attempts_sent;
    row.last_refusal = kind;
    row.restarted = member_target{from.owner, from.owner_incarnation};
    StartAttempt(sequence, now);
    return;
  }
  row.excluded.push_back(from.owner);
  if (!row.key.empty()) {
    EndWithError(sequence, kind, recorded_status, !any_incarnation, now);
  } else if (ErrorResponseFor(kind).try_elsewhere) {
    RetryAfterRefusal(sequence, kind, now);
  } else {
    EndWithError(sequence, kind, recorded_status, false, now);
  }
}

template <typename Rules>
retry_budget& basic_entry_system<Rules>::BudgetOf(const std::string& service) {
  // The set of services changes with the configuration. Budgets cover a few seconds only, so
  // they are soon rebuilt after clearing.
  if (budgets_.size() >= internal::kMaxBudgets) budgets_.clear();
  return budgets_.try_emplace(service, retry_shares_).first->second;
}

template <typename Rules>
void basic_entry_system<Rules>::RetryAfterRefusal(std::uint64_t sequence, error_kind kind,
                                                  time_point now) {
  call_row& row = calls_.find(sequence)->second;
  row.last_refusal = kind;
  if (HasAttemptsLeft(row) && row.record.deadline > now) {
    retry_budget& budget = BudgetOf(row.record.service);
    // An upstream that refused the call has received it, and its response cost it time.
    const bool reached_upstream = kind == error_kind::kUpstreamRefused;
    if (reached_upstream ? !budget.TryAcquireAfterArrival(now)
                         : !budget.TryAcquireAfterRefusal(now)) {
      ++counters_.budget_refusals;
      EndWithError(sequence, error_kind::kRetryBudgetEmpty, 0, false, now);
      return;
    }
    ++counters_.attempts_after_refusal;
  }
  StartAttempt(sequence, now);
}

template <typename Rules>
void basic_entry_system<Rules>::EndAfterLoss(std::uint64_t sequence, time_point now) {
  call_row& row = calls_.find(sequence)->second;
  row.may_have_run = true;
  row.last_refusal = error_kind::kAnswerLost;
  const bool may_repeat = Rules::MayRepeatAfterLoss(row.record.is_protected) &&
                          HasAttemptsLeft(row) && row.record.deadline > now;
  if (may_repeat && BudgetOf(row.record.service).TryAcquireAfterArrival(now)) {
    ++counters_.reexecutions;
    StartAttempt(sequence, now);
    return;
  }
  if (may_repeat) ++counters_.budget_refusals;
  EndWithError(sequence, error_kind::kAnswerLost, 0, false, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnResponseHead(const owner_message_identity& from, int status,
                                               time_point now) {
  if (FindOpen(from, false) == nullptr) return;
  static_cast<void>(now);
  call_row& row = calls_.find(from.attempt.call.sequence)->second;
  if (row.response_started) {
    ++counters_.dropped_responses;
    return;
  }
  row.response_started = true;
  row.record.status = status;
  callers_.RelayResponse(row.exchange, from.attempt);
}

template <typename Rules>
void basic_entry_system<Rules>::OnAttemptFinished(const owner_message_identity& from,
                                                  bool complete, const load_hint& hint,
                                                  time_point now) {
  if (FindOpen(from, false) == nullptr) return;
  chooser_.OnHint({from.owner, from.owner_incarnation}, hint, now);
  const std::uint64_t sequence = from.attempt.call.sequence;
  call_row& row = calls_.find(sequence)->second;
  if (!row.response_started) {
    CloseAttempt(from.attempt, attempt_outcome::kLost, error_kind::kAnswerLost, now);
    row.excluded.push_back(from.owner);
    EndAfterLoss(sequence, now);
    return;
  }
  if (!complete && Rules::AbortsPartialResponse()) {
    CloseAttempt(from.attempt, attempt_outcome::kTruncated, error_kind::kAnswerCut, now);
    EndTruncated(sequence, error_kind::kAnswerCut, now);
    return;
  }
  const int status = row.record.status;
  CloseAttempt(
      from.attempt,
      internal::IsServerError(status) ? attempt_outcome::kFailed : attempt_outcome::kCompleted,
      error_kind::kNone, now);
  Remove(sequence, error_kind::kNone, status, now);
}

template <typename Rules>
void basic_entry_system<Rules>::OnAttemptLost(const attempt_id& attempt, bool was_sent,
                                              time_point now) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    ++counters_.dropped_responses;
    return;
  }
  const member_id owner = found->second.target.id;
  const std::uint64_t sequence = attempt.call.sequence;
  call_row& row = calls_.find(sequence)->second;
  if (row.response_started) {
    CloseAttempt(attempt, attempt_outcome::kTruncated, error_kind::kAnswerCut, now);
    EndTruncated(sequence, error_kind::kAnswerCut, now);
    return;
  }
  row.excluded.push_back(owner);
  if (was_sent) {
    CloseAttempt(attempt, attempt_outcome::kLost, error_kind::kAnswerLost, now);
    EndAfterLoss(sequence, now);
    return;
  }
  CloseAttempt(attempt, attempt_outcome::kNotSent, error_kind::kPeerUnreachable, now);
  if (row.key.empty()) {
    RetryAfterRefusal(sequence, error_kind::kPeerUnreachable, now);
  } else {
    EndWithError(sequence, error_kind::kPeerUnreachable, 0, false, now);
  }
}

template <typename Rules>
void basic_entry_system<Rules>::OnCallerDisconnected(exchange_id exchange, time_point now) {
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) return;
  const std::uint64_t sequence = found->second;
  AbandonAttempt(sequence, attempt_outcome::kCancelled, error_kind::kCancelled, now);
  calls_.find(sequence)->second.record.caller_left = true;
  Remove(sequence, error_kind::kCancelled, 0, now);
}

template <typename Rules>
void basic_entry_system<Rules>::Tick(time_point now) {
  std::vector<std::uint64_t> late;
  for (const auto& [sequence, row] : calls_) {
    if (row.record.deadline + kResponseGrace <= now) late.push_back(sequence);
  }
  std::ranges::sort(late);
  for (const std::uint64_t sequence : late) {
    const auto found = calls_.find(sequence);
    if (found == calls_.end()) continue;
    const bool response_started = found->second.response_started;
    AbandonAttempt(sequence, attempt_outcome::kTimedOut, error_kind::kDeadlineExceeded, now);
    if (response_started) {
      EndTruncated(sequence, error_kind::kDeadlineExceeded, now);
    } else if (found->second.awaits_usage) {
      EndWithError(sequence, error_kind::kUsageCapReached, 0, false, now);
    } else {
      EndWithError(sequence, error_kind::kDeadlineExceeded, 0, false, now);
    }
  }
}

template <typename Rules>
void basic_entry_system<Rules>::AbandonAttempt(std::uint64_t sequence, attempt_outcome outcome,
                                               error_kind result, time_point now) {
  const call_row& row = calls_.find(sequence)->second;
  if (row.open_attempt == 0) return;
  const attempt_id id{row.record.id, row.open_attempt};
  const exchange_id exchange = row.exchange;
  const bool is_local = attempts_.find(id)->second.is_local;
  CloseAttempt(id, outcome, result, now);
  if (is_local) {
    local_.OnLocalCancel(exchange, now);
  } else {
    peers_.CancelAttempt(exchange, id);
  }
}

template <typename Rules>
error_kind basic_entry_system<Rules>::ReportableKind(const call_row& row, error_kind kind,
                                                     bool from_home) {
  const bool is_not_run = ErrorResponseFor(kind).state == execution::kNotRun;
  if (!is_not_run) return kind;
  if (!Rules::MayReportNotRun(row.may_have_run)) return error_kind::kAnswerLost;
  if (row.key.empty() || (from_home && kind != error_kind::kKeyTableFull)) return kind;
  // Only the home of the key has the state of its tries. A caller that receives "not run" for a
  // later try would take it as valid for all its tries.
  if (kind == error_kind::kWrongIncarnation && IsIssuedKey(row.key)) {
    return error_kind::kKeyHomeLost;
  }
  return row.record.caller_try > 1 ? error_kind::kKeyUnknown : kind;
}

template <typename Rules>
void basic_entry_system<Rules>::EndWithError(std::uint64_t sequence, error_kind kind,
                                             int recorded_status, bool from_home,
                                             time_point now, duration retry_after) {
  const call_row& row = calls_.find(sequence)->second;
  const error_kind reported = ReportableKind(row, kind, from_home);
  const bool has_not_run =
      !row.may_have_run && ErrorResponseFor(reported).state == execution::kNotRun;
  if (has_not_run && row.token_expires > now) {
    usage_->Return(row.record.account, row.token_expires, now);
  }
  const exchange_id exchange = row.exchange;
  const call_id id = row.record.id;
  Remove(sequence, reported, recorded_status, now);
  callers_.RespondWithError(exchange, id, reported, recorded_status, retry_after);
}

template <typename Rules>
void basic_entry_system<Rules>::EndTruncated(std::uint64_t sequence, error_kind kind,
                                             time_point now) {
  const call_row& row = calls_.find(sequence)->second;
  const exchange_id exchange = row.exchange;
  ++counters_.aborted_responses;
  Remove(sequence, kind, row.record.status, now);
  callers_.AbortResponse(exchange);
}

template <typename Rules>
void basic_entry_system<Rules>::Remove(std::uint64_t sequence, error_kind result, int status,
                                       time_point now) {
  const auto found = calls_.find(sequence);
  call_row& row = found->second;
  if (row.awaits_usage) usage_->Cancel(row.record.account, sequence);
  by_exchange_.erase(row.exchange);
  row.record.result = result;
  row.record.status = status;
  row.record.ended = now;
  history_.Add(std::move(row.record));
  calls_.erase(found);
}

template <typename Rules>
std::variant<std::string, error_kind> basic_entry_system<Rules>::IssueKey(
    std::string_view service, time_point now) {
  caller_request probe;
  probe.method = "POST";
  probe.path = Concat("/", service);
  const route_decision route = routes_.Find(probe);
  if (route.error != error_kind::kNone) return route.error;
  choice_request request;
  request.is_protected = true;
  request.deadline = now + route.time_limit;
  request.regions = route.regions;
  // The chooser prefers the own upstream too, and unlike a check for a free slot it also counts
  // issued keys that are not yet used.
  const auto home = chooser_.Choose(service, request, {}, now);
  if (!home) {
    return route.regions.is_limited() ? error_kind::kOutsideRegions : error_kind::kNoUpstream;
  }
  chooser_.OnKeyIssued(*home, now);
  return FormatIssuedKey({.home = *home, .issued_ms = self_.UnixMs(now), .nonce = random_()});
}

}  // namespace bronzeroute
