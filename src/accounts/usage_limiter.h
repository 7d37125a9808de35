#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/accounts/usage_cap.h"
#include "src/accounts/usage_counters.h"
#include "src/accounts/usage_decision.h"
#include "src/accounts/usage_group.h"
#include "src/accounts/usage_lender.h"
#include "src/accounts/usage_message.h"
#include "src/accounts/usage_rules.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Enforces the usage caps of accounts at one daemon, as borrower and as lender of tokens. See
/// docs/design/usage-caps.md. Without network or clock: messages and results are taken by the
/// caller after each event.
template <usage_rules_type Rules>
class basic_usage_limiter {
 public:
  /// The end of a pending request.
  struct result {
    std::uint64_t waiter = 0;
    usage_decision decision;
  };

  /// `first_sequence` must exceed all sequences of earlier incarnations of this daemon.
  basic_usage_limiter(member_id self, std::uint64_t first_sequence, time_point now);

  /// Replaces the caps. Accounts without a cap are not limited.
  void SetCaps(std::span<const usage_cap> caps, time_point now);
  /// `live` are the members that may lend, this one included. `known` is the number of members
  /// including dead ones, but not those that left. `all_started_anew` is true if no live member
  /// had started before this one, so that none holds what an earlier incarnation delegated.
  void SetMembers(std::span<const member_id> live, std::uint32_t known, bool all_started_anew,
                  time_point now);
  /// True until the shares of this daemon are in use.
  bool is_starting() const { return is_starting_; }

  /// Takes a token for a request of `account`. If the decision is pending, it follows in
  /// TakeResults() under `waiter` by `wait_until` at the latest.
  usage_decision Acquire(std::string_view account, std::uint64_t waiter, time_point wait_until,
                         time_point now);
  /// A pending request ended otherwise; it gets no result.
  void Cancel(std::string_view account, std::uint64_t waiter);
  /// A request that was granted a token was refused and has not run.
  void Return(std::string_view account, time_point expires, time_point now);

  void OnMessage(const usage_message& message, time_point now);
  /// To be called about every 10 ms.
  void Tick(time_point now);

  std::vector<usage_message> TakeMessages() { return std::exchange(messages_, {}); }
  std::vector<result> TakeResults() { return std::exchange(results_, {}); }

  /// Counters of all accounts with a cap, in the order of their names.
  std::vector<std::pair<std::string_view, const usage_counters*>> Counters() const;
  std::uint64_t ignored_messages() const { return ignored_messages_; }
  const usage_lender& lender() const { return lender_; }

 private:
  struct held_tokens {
    time_point expires;
    std::uint32_t count = 0;
  };
  struct pending_request {
    std::uint64_t waiter = 0;
    time_point wait_until;
  };
  struct open_request {
    std::uint64_t sequence = 0;
    member_id lender;
    time_point sent;
  };
  struct account_row {
    usage_cap cap;
    std::uint32_t group = 0;
    double base_level = 0;
    time_point base_advanced_at;
    /// In the order of expiry.
    std::deque<held_tokens> held;
    std::deque<pending_request> pending;
    std::optional<open_request> open;
    /// The lender has no tokens before this time.
    time_point denied_until;
    /// Requests in the half second that ends at `demand_until`, and in the one before.
    std::uint32_t demand = 0;
    std::uint32_t earlier_demand = 0;
    time_point demand_until;
    usage_counters counters;
  };
  struct group_row {
    /// Lender to which the shares were delegated last, and until when they stay with it.
    member_id to;
    time_point held_until;
    time_point renew_at;
    /// Lender according to the live members.
    member_id chosen;
    /// Requests that the lender has left without a reply, and when the first was sent.
    std::uint32_t unanswered = 0;
    time_point silent_since;
    /// Member that is not chosen as lender before `avoided_until`, as it did not reply.
    member_id avoided;
    time_point avoided_until;
  };

  void Observe(time_point now);
  static void CountDemand(account_row& row, time_point now);
  /// Takes a token that is at hand; returns its expiry, or nothing.
  std::optional<time_point> TakeToken(account_row& row, time_point now);
  void AdvanceBase(account_row& row, time_point now) const;
  static void Hold(account_row& row, std::uint32_t count, time_point expires);
  static void DropExpired(account_row& row, time_point now);
  /// Grants, denies or continues to wait for each pending request, and requests tokens.
  void Serve(account_row& row, time_point now);
  void Request(account_row& row, time_point now);
  static usage_decision Deny(account_row& row, time_point now);
  void OnRequest(const usage_message& message, time_point now);
  void OnReply(const usage_message& message, time_point now);
  void OnUnanswered(group_row& group, time_point sent, time_point now);
  void UpdateShares(time_point now);
  /// Advances all base quotas up to now, before their shares change.
  void AdvanceAllBases(time_point now);
  void ChooseLender(std::uint32_t group);
  void Renew(time_point now);
  /// Groups delegated to `lender`, as a bit mask. Counts as their renewal.
  std::uint32_t RenewedGroups(member_id lender, time_point now);
  /// The member to ask for tokens of the group; member 0 if there is none.
  member_id LenderOf(const group_row& group) const;

  member_id self_;
  std::uint64_t sequence_;
  time_point last_observed_;
  time_point ignore_delegations_until_;
  time_point started_;
  bool is_starting_ = true;
  bool all_started_anew_ = false;
  /// Largest number of known members in the last `kDelegationHold`, as older delegations are
  /// still in use, and when it may decrease.
  std::uint32_t members_ = 0;
  std::uint32_t known_ = 0;
  time_point grown_at_;
  time_point decrease_at_ = time_point::max();
  std::vector<member_id> live_;
  std::array<group_row, kUsageGroups> groups_;
  /// Groups that have an account with a cap, as a bit mask.
  std::uint32_t used_groups_ = 0;
  usage_lender lender_;
  /// Ordered, so that a seed reproduces the same trace.
  std::map<std::string, account_row, std::less<>> accounts_;
  std::vector<usage_message> messages_;
  std::vector<result> results_;
  std::uint64_t ignored_messages_ = 0;
};

extern template class basic_usage_limiter<usage_rules>;
using usage_limiter = basic_usage_limiter<usage_rules>;

}  // namespace bronzeroute
