#include "src/node/usage_adapter.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "src/accounts/usage_message.h"
#include "src/calls/usage_listener.h"
#include "src/configuration/document.h"
#include "src/membership/member_row.h"
#include "src/membership/membership_system.h"
#include "src/node/decision_log.h"

namespace bronzeroute {
namespace {

// Sequences of an incarnation start at its start time in microseconds, so that they exceed
// those of the incarnations before it.
constexpr std::uint64_t kSequencesPerMs = 1000;
// Members of a deployment that starts as a whole differ this much in their start times, clocks
// included. A member that has lived longer may lend what an earlier incarnation of this daemon
// delegated.
constexpr std::uint64_t kSameStartMs = 2000;
constexpr auto kLogInterval = std::chrono::seconds(10);
// Accounts with refusals that are logged in one interval; metrics name all.
constexpr std::size_t kMaxLoggedAccounts = 8;

}  // namespace

usage_adapter::usage_adapter(const member_row& self, membership_system& membership,
                             decision_log& decisions, time_point now)
    : self_(self.id),
      membership_(membership),
      decisions_(decisions),
      limiter_(self.id, self.incarnation.value * kSequencesPerMs, now),
      next_log_(now + kLogInterval) {}

usage_decision usage_adapter::Acquire(std::string_view account, std::uint64_t call,
                                      time_point wait_until, time_point now) {
  const usage_decision decision = limiter_.Acquire(account, call, wait_until, now);
  SendMessages();
  return decision;
}

void usage_adapter::Cancel(std::string_view account, std::uint64_t call) {
  limiter_.Cancel(account, call);
}

void usage_adapter::Return(std::string_view account, time_point expires, time_point now) {
  // Decisions on other calls follow with the next tick, as the entry is about to end this one.
  limiter_.Return(account, expires, now);
}

void usage_adapter::OnDocument(const document& current, time_point now) {
  std::vector<usage_cap> caps;
  for (const account_spec& account : current.accounts) {
    if (account.is_capped()) caps.push_back({account.name, account.rate_per_s, account.burst});
  }
  limiter_.SetCaps(caps, now);
  Flush(now);
}

void usage_adapter::OnMembers(time_point now) {
  live_.clear();
  std::uint32_t known = 0;
  bool all_started_anew = true;
  const std::uint64_t own_start = membership_.self().incarnation.value;
  for (const member_row& row : membership_.members()) {
    const bool is_self = row.id == self_;
    if (row.state == member_state::kLeft && !is_self) continue;
    ++known;
    if (!is_self && row.state == member_state::kDead) continue;
    live_.push_back(row.id);
    all_started_anew = all_started_anew && row.incarnation.value + kSameStartMs >= own_start;
  }
  std::ranges::sort(live_);
  limiter_.SetMembers(live_, known, all_started_anew, now);
}

void usage_adapter::OnMessages(time_point now) {
  const std::vector<usage_message> messages = membership_.TakeUsageMessages();
  if (messages.empty()) return;
  for (const usage_message& message : messages) limiter_.OnMessage(message, now);
  Flush(now);
}

void usage_adapter::Tick(time_point now) {
  limiter_.Tick(now);
  Flush(now);
  if (now >= next_log_) LogRefusals(now);
}

void usage_adapter::SendMessages() {
  for (const usage_message& message : limiter_.TakeMessages()) membership_.SendUsage(message);
}

void usage_adapter::Flush(time_point now) {
  SendMessages();
  for (const usage_limiter::result& each : limiter_.TakeResults()) {
    if (listener_ == nullptr) continue;
    if (each.decision.state == usage_state::kGranted) {
      listener_->OnUsageGranted(each.waiter, each.decision, now);
    } else {
      listener_->OnUsageDenied(each.waiter, each.decision, now);
    }
  }
}

void usage_adapter::LogRefusals(time_point now) {
  next_log_ = now + kLogInterval;
  struct change {
    std::string_view account;
    usage_counters since;
  };
  std::vector<change> refused;
  for (const auto& [account, counters] : limiter_.Counters()) {
    usage_counters& before = logged_[std::string(account)];
    const usage_counters since = {.granted = counters->granted - before.granted,
                                  .refused = counters->refused - before.refused,
                                  .lent = counters->lent - before.lent,
                                  .borrowed = counters->borrowed - before.borrowed,
                                  .expired = counters->expired - before.expired};
    before = *counters;
    if (since.refused > 0) refused.push_back({account, since});
  }
  if (logged_.size() > limiter_.Counters().size()) {
    // Accounts that a later document adds again start from zero, as their counters do.
    std::erase_if(logged_, [this](const auto& row) {
      return std::ranges::none_of(limiter_.Counters(), [&row](const auto& account) {
        return account.first == row.first;
      });
    });
  }
  std::ranges::sort(refused, std::ranges::greater{},
                    [](const change& each) { return each.since.refused; });
  for (std::size_t i = 0; i < std::min(refused.size(), kMaxLoggedAccounts); ++i) {
    decisions_.OnUsageRefused(refused[i].account, refused[i].since, refused.size());
  }
}

}  // namespace bronzeroute
