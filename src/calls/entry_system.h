#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/attempt_head.h"
#include "src/calls/attempt_listener.h"
#include "src/calls/attempt_outcome.h"
#include "src/calls/call_history.h"
#include "src/calls/call_rules.h"
#include "src/calls/caller_request.h"
#include "src/calls/entry_counters.h"
#include "src/calls/member_target.h"
#include "src/calls/retry_budget.h"
#include "src/calls/self_identity.h"
#include "src/calls/target_reason.h"
#include "src/calls/usage_listener.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

class caller_port;
class local_owner;
class member_directory;
class peer_port;
class route_directory;
class upstream_chooser;
class usage_gate;

/// Maximum number of attempts sent for one call, the first included. An attempt is one
/// forwarding of the call to an owner.
inline constexpr std::uint32_t kMaxAttempts = 3;

/// The entry's side of calls: from a caller's request to its one response. The entry is the
/// daemon that received the request of the caller; it forwards the call to an owner, the daemon
/// beside the chosen upstream (see `basic_owner_system`), which may be in the same process.
template <typename Rules>
class basic_entry_system final : public attempt_listener, public usage_listener {
 public:
  /// All references must outlive this object.
  basic_entry_system(const self_identity& self, caller_port& callers, peer_port& peers,
                     local_owner& local, upstream_chooser& chooser, member_directory& members,
                     route_directory& routes, std::uint64_t seed);

  /// Accepts a request and returns the identity of its call. `caller_port` gets the response
  /// exactly once, possibly before this function returns.
  call_id OnCallerRequest(const caller_request& request, time_point now);
  /// The caller closed its connection. `caller_port` gets no further call for `exchange`.
  void OnCallerDisconnected(exchange_id exchange, time_point now);

  void OnAttemptAdmitted(const owner_message_identity& from, const load_hint& hint,
                         time_point now) override;
  void OnAttemptRefused(const owner_message_identity& from, error_kind kind,
                        int recorded_status, const load_hint& hint, time_point now) override;
  void OnResponseHead(const owner_message_identity& from, int status, time_point now) override;
  void OnAttemptFinished(const owner_message_identity& from, bool complete,
                         const load_hint& hint, time_point now) override;
  /// The link broke before the end of the response. `was_sent` is false only if it is certain
  /// that nothing of the attempt left this process.
  void OnAttemptLost(const attempt_id& attempt, bool was_sent, time_point now);

  void OnUsageGranted(std::uint64_t call, const usage_decision& decision,
                      time_point now) override;
  void OnUsageDenied(std::uint64_t call, const usage_decision& decision,
                     time_point now) override;

  /// Calls of accounts start only with a token of `gate`, which must outlive this object. Null
  /// for no limit.
  void SetUsageGate(usage_gate* gate) { usage_ = gate; }

  void SetRetryShares(const retry_shares& shares) { retry_shares_ = shares; }

  /// Ends calls whose deadline has passed.
  void Tick(time_point now);

  /// A new idempotency key for `service`, or the reason why none was issued.
  std::variant<std::string, error_kind> IssueKey(std::string_view service, time_point now);

  /// The incarnation of this process was bumped. Open calls keep their identity.
  void BumpIncarnation(incarnation_id to) { self_.BumpIncarnation(to); }

  bool IsIdle() const { return calls_.empty(); }
  std::size_t open_calls() const { return calls_.size(); }
  std::size_t open_attempts() const { return attempts_.size(); }
  const call_history& history() const { return history_; }
  call_history& history() { return history_; }
  const entry_counters& counters() const { return counters_; }

 private:
  struct call_row {
    exchange_id exchange;
    std::string method;
    std::string key;
    std::uint32_t depth = 0;
    std::optional<std::uint64_t> content_length;
    /// Number of the open attempt, 0 if there is none.
    std::uint32_t open_attempt = 0;
    std::uint32_t last_attempt = 0;
    std::uint32_t attempts_sent = 0;
    /// Attempts that got a slot at an owner, and how many may.
    std::uint32_t attempts_admitted = 0;
    std::uint32_t max_admitted = kMaxAttempts;
    std::uint32_t priority = 0;
    std::uint32_t account_priority = 0;
    /// The configuration that applies to the call has accounts.
    bool has_accounts = false;
    region_limit regions;
    std::uint64_t route_id = 0;
    time_point objective;
    std::vector<member_id> excluded;
    error_kind last_refusal = error_kind::kNone;
    /// An attempt was sent, and it is unknown whether it ran.
    bool may_have_run = false;
    /// Number of times the call was sent again to an owner that had restarted.
    std::uint32_t later_incarnations = 0;
    /// Target of the next attempt: an owner that restarted, at the incarnation it reported.
    std::optional<member_target> restarted;
    /// The response to the open attempt is being relayed to the caller.
    bool response_started = false;
    /// The call waits for a token of its account; no attempt was made.
    bool awaits_usage = false;
    /// Time until which its token can be returned.
    time_point token_expires = time_point::min();
    call_record record;
  };
  struct attempt_row {
    member_target target;
    bool is_local = false;
  };
  struct chosen_target {
    member_target target;
    target_reason reason = target_reason::kChosen;
    choice_summary choice{};
    /// Additional cost of the next best owner; nothing if there is none.
    std::optional<duration> other_cost{};
  };

  /// True if another attempt of the call may be sent.
  static bool HasAttemptsLeft(const call_row& row) {
    return row.attempts_sent < kMaxAttempts && row.attempts_admitted < row.max_admitted;
  }
  error_kind Classify(const caller_request& request, time_point now, call_row& row);
  /// Starts the call, unless the usage cap of its account denies it or makes it wait.
  void StartWithinUsageCap(std::uint64_t sequence, time_point now);
  void StartFirstAttempt(std::uint64_t sequence, time_point now);
  std::variant<chosen_target, error_kind> PickTarget(call_row& row, time_point now);
  /// The home of the key of `row`, if it may run in `regions`.
  std::variant<chosen_target, error_kind> PickKeyHome(const call_row& row,
                                                      const region_limit& regions);
  /// True if the membership view has a live member `id` of `service` in `regions`.
  bool IsMemberIn(member_id id, const std::string& service, const region_limit& regions);
  void StartAttempt(std::uint64_t sequence, time_point now);
  void RetryAfterRefusal(std::uint64_t sequence, error_kind kind, time_point now);
  void EndAfterLoss(std::uint64_t sequence, time_point now);

  /// The open attempt that `from` identifies, or null; a message without one is counted as
  /// dropped. With `any_incarnation`, the incarnation of the owner need not match.
  attempt_row* FindOpen(const owner_message_identity& from, bool any_incarnation);
  void CloseAttempt(const attempt_id& id, attempt_outcome outcome, error_kind result,
                    time_point now);
  /// Cancels the open attempt of a call that ends before it, if there is one.
  void AbandonAttempt(std::uint64_t sequence, attempt_outcome outcome, error_kind result,
                      time_point now);
  /// Ends the call with an error; `from_home` is true if the home of the key reported it.
  /// `retry_after` replaces that of the error table unless it is 0.
  void EndWithError(std::uint64_t sequence, error_kind kind, int recorded_status,
                    bool from_home, time_point now, duration retry_after = {});
  void EndTruncated(std::uint64_t sequence, error_kind kind, time_point now);
  /// Removes the call and adds its record to the history.
  void Remove(std::uint64_t sequence, error_kind result, int status, time_point now);
  /// The kind to report to the caller: `kind`, unless that would state "not run" without proof.
  static error_kind ReportableKind(const call_row& row, error_kind kind, bool from_home);

  self_identity self_;
  caller_port& callers_;
  peer_port& peers_;
  local_owner& local_;
  upstream_chooser& chooser_;
  member_directory& members_;
  route_directory& routes_;
  usage_gate* usage_ = nullptr;
  std::mt19937_64 random_;

  std::uint64_t next_sequence_ = 1;
  absl::flat_hash_map<std::uint64_t, call_row> calls_;
  absl::flat_hash_map<exchange_id, std::uint64_t> by_exchange_;
  absl::flat_hash_map<attempt_id, attempt_row> attempts_;
  /// The retry budget of `service`.
  retry_budget& BudgetOf(const std::string& service);

  retry_shares retry_shares_;
  absl::flat_hash_map<std::string, retry_budget> budgets_;
  call_history history_;
  entry_counters counters_;
};

extern template class basic_entry_system<call_rules>;
using entry_system = basic_entry_system<call_rules>;

}  // namespace bronzeroute
