#pragma once

// Definitions of basic_usage_limiter, included where it is instantiated: in usage_limiter.cc
// and in tests.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/accounts/usage_limiter.h"
#include "src/accounts/usage_share.h"
#include "src/accounts/usage_times.h"

namespace bronzeroute {
namespace internal {

/// Maximum number of pending requests of one account.
inline constexpr std::size_t kMaxPendingUsage = 64;
/// Maximum number of tokens in one request.
inline constexpr std::uint32_t kMaxWantedTokens = 64;
inline constexpr std::size_t kMaxAccountName = 255;
/// Interval over which the demand of an account is counted.
inline constexpr duration kDemandInterval = std::chrono::milliseconds(500);
/// Retry time if the lender has not named one.
inline constexpr duration kPlainUsageRetry = std::chrono::milliseconds(250);
/// Retry times of requests that are refused together are spread over this many steps.
inline constexpr std::uint64_t kRetrySteps = 8;
/// A lender that left this many requests without a reply over this time is not chosen for a
/// while; membership needs about 10 s to report its death.
inline constexpr std::uint32_t kMaxUnanswered = 4;
inline constexpr duration kMaxSilence = std::chrono::seconds(1);
inline constexpr duration kAvoidTime = std::chrono::seconds(15);

}  // namespace internal

template <usage_rules_type Rules>
basic_usage_limiter<Rules>::basic_usage_limiter(member_id self, std::uint64_t first_sequence,
                                                time_point now)
    : self_(self),
      sequence_(first_sequence),
      last_observed_(now),
      ignore_delegations_until_(now),
      started_(now),
      grown_at_(now) {}

// --- caps and members

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::SetCaps(std::span<const usage_cap> caps, time_point now) {
  Observe(now);
  AdvanceAllBases(now);
  std::map<std::string, account_row, std::less<>> accounts;
  used_groups_ = 0;
  for (const usage_cap& cap : caps) {
    account_row& row = accounts[cap.account];
    if (const auto found = accounts_.find(cap.account); found != accounts_.end()) {
      row = std::move(found->second);
      accounts_.erase(found);
    }
    row.cap = cap;
    row.group = UsageGroupOf(cap.account);
    row.base_advanced_at = now;
    AdvanceBase(row, now);
    used_groups_ |= 1U << row.group;
  }
  for (const auto& [name, row] : accounts_) {
    for (const pending_request& each : row.pending) results_.push_back({each.waiter, {}});
  }
  accounts_ = std::move(accounts);
  lender_.SetCaps(caps, now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::SetMembers(std::span<const member_id> live,
                                            std::uint32_t known, bool all_started_anew,
                                            time_point now) {
  Observe(now);
  all_started_anew_ = all_started_anew;
  if (!std::ranges::equal(live, live_)) {
    live_.assign(live.begin(), live.end());
    for (std::uint32_t group = 0; group < kUsageGroups; ++group) ChooseLender(group);
  }
  if (known > known_) grown_at_ = now;
  known_ = known;
  UpdateShares(now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::UpdateShares(time_point now) {
  if (known_ > members_) {
    AdvanceAllBases(now);
    members_ = known_;
  }
  if (known_ == members_) {
    decrease_at_ = time_point::max();
  } else if (decrease_at_ == time_point::max()) {
    decrease_at_ = now + kDelegationHold;
  } else if (now >= decrease_at_) {
    AdvanceAllBases(now);
    members_ = known_;
    decrease_at_ = time_point::max();
  }
  if (!is_starting_ || known_ == 0) return;
  if (!all_started_anew_ && now < started_ + kShareStartDelay) return;
  if (now < grown_at_ + kMembersSettleTime && now < started_ + kLongestShareStart) return;
  is_starting_ = false;
  for (auto& [name, row] : accounts_) row.base_advanced_at = now;
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::ChooseLender(std::uint32_t group) {
  group_row& row = groups_[group];
  if (row.avoided == member_id{}) {
    row.chosen = UsageLenderOf(group, live_);
    return;
  }
  std::vector<member_id> others = live_;
  std::erase(others, row.avoided);
  row.chosen = UsageLenderOf(group, others);
}

template <usage_rules_type Rules>
member_id basic_usage_limiter<Rules>::LenderOf(const group_row& group) const {
  // While the shares stay with a lender that is no longer chosen, it has those of the others as
  // well, unless it is gone.
  const bool is_gone =
      group.to == group.avoided || std::ranges::find(live_, group.to) == live_.end();
  return group.to == member_id{} || is_gone ? group.chosen : group.to;
}

// --- delegations

template <usage_rules_type Rules>
std::uint32_t basic_usage_limiter<Rules>::RenewedGroups(member_id lender, time_point now) {
  std::uint32_t groups = 0;
  if (is_starting_) return groups;
  for (std::uint32_t group = 0; group < kUsageGroups; ++group) {
    group_row& row = groups_[group];
    const bool is_used = (used_groups_ >> group & 1U) != 0;
    if (!is_used || row.to != lender || row.chosen != lender) continue;
    groups |= 1U << group;
    row.held_until = Rules::MayDelegateFrom(now);
    row.renew_at = now + kRenewalInterval;
  }
  return groups;
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Renew(time_point now) {
  if (is_starting_) return;
  for (std::uint32_t group = 0; group < kUsageGroups; ++group) {
    group_row& row = groups_[group];
    if (row.avoided != member_id{} && now >= row.avoided_until) {
      row.avoided = member_id{};
      ChooseLender(group);
    }
    if (row.to != row.chosen && now >= row.held_until) {
      row.to = row.chosen;
      row.renew_at = now;
    }
    const bool is_used = (used_groups_ >> group & 1U) != 0;
    if (!is_used || row.to == member_id{} || row.to != row.chosen || now < row.renew_at) {
      continue;
    }
    const member_id lender = row.to;
    const std::uint32_t groups = RenewedGroups(lender, now);
    if (lender == self_) {
      lender_.OnDelegation(self_, groups, members_, now);
    } else {
      messages_.push_back({.type = usage_message::kind::kDelegation,
                           .peer = lender,
                           .sequence = ++sequence_,
                           .groups = groups,
                           .members = members_});
    }
  }
}

// --- time

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Observe(time_point now) {
  const duration gap = now - last_observed_;
  last_observed_ = std::max(last_observed_, now);
  if (gap <= kUsageFreezeGap) return;
  lender_.Clear();
  ignore_delegations_until_ = now + kStaleDatagramTime;
  for (auto& [name, row] : accounts_) {
    row.held.clear();
    row.open.reset();
    row.base_level = 0;
    row.base_advanced_at = now;
  }
  // The own shares are delegated anew if they stay here.
  for (group_row& row : groups_) row.renew_at = now;
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Tick(time_point now) {
  Observe(now);
  UpdateShares(now);
  Renew(now);
  for (auto& [name, row] : accounts_) {
    if (!row.held.empty()) DropExpired(row, now);
    if (row.open && now >= row.open->sent + kUsageReplyTimeout) {
      OnUnanswered(groups_[row.group], row.open->sent, now);
      row.open.reset();
    }
    if (!row.pending.empty()) Serve(row, now);
  }
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::OnUnanswered(group_row& group, time_point sent,
                                              time_point now) {
  if (group.unanswered == 0) group.silent_since = sent;
  ++group.unanswered;
  if (group.unanswered < internal::kMaxUnanswered ||
      now < group.silent_since + internal::kMaxSilence || live_.size() < 2) {
    return;
  }
  group.unanswered = 0;
  group.avoided = LenderOf(group);
  group.avoided_until = now + internal::kAvoidTime;
  ChooseLender(static_cast<std::uint32_t>(&group - groups_.data()));
}

// --- tokens at hand

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::AdvanceBase(account_row& row, time_point now) const {
  if (is_starting_ || members_ == 0) return;
  const usage_share share = BaseShare(row.cap, members_);
  const double seconds = std::chrono::duration<double>(now - row.base_advanced_at).count();
  row.base_level = std::min(row.base_level + share.rate_per_s * seconds, share.depth);
  row.base_advanced_at = now;
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::AdvanceAllBases(time_point now) {
  for (auto& [name, row] : accounts_) AdvanceBase(row, now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::DropExpired(account_row& row, time_point now) {
  while (!row.held.empty() && row.held.front().expires <= now) {
    row.counters.expired += row.held.front().count;
    row.held.pop_front();
  }
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Hold(account_row& row, std::uint32_t count,
                                      time_point expires) {
  const auto after =
      std::ranges::upper_bound(row.held, expires, std::less<>{}, &held_tokens::expires);
  row.held.insert(after, {.expires = expires, .count = count});
}

template <usage_rules_type Rules>
std::optional<time_point> basic_usage_limiter<Rules>::TakeToken(account_row& row,
                                                                time_point now) {
  DropExpired(row, now);
  if (!row.held.empty()) {
    held_tokens& first = row.held.front();
    const time_point expires = first.expires;
    if (--first.count == 0) row.held.pop_front();
    return expires;
  }
  AdvanceBase(row, now);
  if (row.base_level >= 1) {
    row.base_level -= 1;
    return now + kTokenLife;
  }
  if (LenderOf(groups_[row.group]) != self_ || now < row.denied_until) return std::nullopt;
  const usage_lender::grant own = lender_.Take(row.cap.account, 1, self_, now);
  if (own.tokens == 0) {
    row.denied_until = now + own.wait;
    return std::nullopt;
  }
  row.counters.lent += own.tokens;
  if (own.tokens > 1) Hold(row, own.tokens - 1, now + kTokenLife);
  return now + kTokenLife;
}

// --- requests of callers

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::CountDemand(account_row& row, time_point now) {
  if (now >= row.demand_until) {
    row.earlier_demand = now < row.demand_until + internal::kDemandInterval ? row.demand : 0;
    row.demand = 0;
    row.demand_until = now + internal::kDemandInterval;
  }
  ++row.demand;
}

template <usage_rules_type Rules>
usage_decision basic_usage_limiter<Rules>::Acquire(std::string_view account,
                                                   std::uint64_t waiter, time_point wait_until,
                                                   time_point now) {
  Observe(now);
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return {};
  account_row& row = found->second;
  CountDemand(row, now);
  // Requests that wait come first.
  if (row.pending.empty()) {
    if (const auto expires = TakeToken(row, now)) {
      ++row.counters.granted;
      return {.state = usage_state::kGranted, .expires = *expires};
    }
  }
  if (wait_until <= now || row.denied_until >= wait_until ||
      row.pending.size() >= internal::kMaxPendingUsage) {
    return Deny(row, now);
  }
  row.pending.push_back({.waiter = waiter, .wait_until = wait_until});
  if (!row.open && now >= row.denied_until) Request(row, now);
  return {.state = usage_state::kPending};
}

template <usage_rules_type Rules>
usage_decision basic_usage_limiter<Rules>::Deny(account_row& row, time_point now) {
  const duration wait =
      row.denied_until > now ? row.denied_until - now : internal::kPlainUsageRetry;
  const auto step = static_cast<duration::rep>(row.counters.refused % internal::kRetrySteps);
  ++row.counters.refused;
  return {
      .state = usage_state::kDenied,
      .retry_at = now + wait + wait * step / static_cast<duration::rep>(internal::kRetrySteps)};
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Cancel(std::string_view account, std::uint64_t waiter) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return;
  std::erase_if(found->second.pending,
                [waiter](const pending_request& each) { return each.waiter == waiter; });
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Return(std::string_view account, time_point expires,
                                        time_point now) {
  Observe(now);
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || expires <= now) return;
  Hold(found->second, 1, expires);
  if (!found->second.pending.empty()) Serve(found->second, now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Serve(account_row& row, time_point now) {
  while (!row.pending.empty()) {
    const auto expires = TakeToken(row, now);
    if (!expires) break;
    ++row.counters.granted;
    results_.push_back(
        {row.pending.front().waiter, {.state = usage_state::kGranted, .expires = *expires}});
    row.pending.pop_front();
  }
  std::erase_if(row.pending, [&](const pending_request& each) {
    if (each.wait_until > now && row.denied_until < each.wait_until) return false;
    results_.push_back({each.waiter, Deny(row, now)});
    return true;
  });
  if (!row.pending.empty() && !row.open && now >= row.denied_until) Request(row, now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::Request(account_row& row, time_point now) {
  const member_id lender = LenderOf(groups_[row.group]);
  if (lender == member_id{} || lender == self_) return;
  // Tokens that expire unused are lost to the account. Half of the demand of the interval
  // before is used up nearly always; the demand of this one may be a single clump of requests.
  const std::uint32_t ahead = row.earlier_demand / 2;
  const std::uint32_t wanted = std::min(static_cast<std::uint32_t>(row.pending.size()) + ahead,
                                        internal::kMaxWantedTokens);
  row.open = open_request{.sequence = ++sequence_, .lender = lender, .sent = now};
  messages_.push_back({.type = usage_message::kind::kRequest,
                       .peer = lender,
                       .sequence = sequence_,
                       .account = row.cap.account,
                       .tokens = wanted,
                       .groups = RenewedGroups(lender, now),
                       .members = members_});
}

// --- messages

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::OnMessage(const usage_message& message, time_point now) {
  Observe(now);
  const bool is_delegation = message.type == usage_message::kind::kDelegation;
  if (message.peer == self_ || message.peer == member_id{} ||
      (!is_delegation &&
       (message.account.empty() || message.account.size() > internal::kMaxAccountName))) {
    ++ignored_messages_;
    return;
  }
  if (message.type == usage_message::kind::kReply) {
    OnReply(message, now);
    return;
  }
  if (now >= ignore_delegations_until_) {
    lender_.OnDelegation(message.peer, message.groups, message.members, now);
  }
  if (!is_delegation) OnRequest(message, now);
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::OnRequest(const usage_message& message, time_point now) {
  const usage_lender::grant lent = lender_.Take(
      message.account, std::min(message.tokens, internal::kMaxWantedTokens), message.peer, now);
  if (const auto found = accounts_.find(message.account); found != accounts_.end()) {
    found->second.counters.lent += lent.tokens;
  }
  messages_.push_back({.type = usage_message::kind::kReply,
                       .peer = message.peer,
                       .sequence = message.sequence,
                       .account = message.account,
                       .tokens = lent.tokens,
                       .wait = lent.wait});
}

template <usage_rules_type Rules>
void basic_usage_limiter<Rules>::OnReply(const usage_message& message, time_point now) {
  const auto found = accounts_.find(message.account);
  const bool is_open = found != accounts_.end() && found->second.open &&
                       found->second.open->sequence == message.sequence &&
                       found->second.open->lender == message.peer;
  if (!is_open) {
    ++ignored_messages_;
    return;
  }
  account_row& row = found->second;
  const time_point requested = row.open->sent;
  row.open.reset();
  groups_[row.group].unanswered = 0;
  if (message.tokens > 0) {
    const std::uint32_t tokens = std::min(message.tokens, internal::kMaxWantedTokens);
    row.counters.borrowed += tokens;
    Hold(row, tokens, Rules::TokenExpiry(requested, now));
  } else {
    row.denied_until = now + message.wait;
  }
  Serve(row, now);
}

template <usage_rules_type Rules>
std::vector<std::pair<std::string_view, const usage_counters*>>
basic_usage_limiter<Rules>::Counters() const {
  std::vector<std::pair<std::string_view, const usage_counters*>> rows;
  rows.reserve(accounts_.size());
  for (const auto& [name, row] : accounts_) rows.emplace_back(name, &row.counters);
  return rows;
}

}  // namespace bronzeroute
