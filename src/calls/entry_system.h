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
#include "src/calls/call_log.h"
#include "src/calls/call_rules.h"
#include "src/calls/caller_request.h"
#include "src/calls/entry_counters.h"
#include "src/calls/member_target.h"
#include "src/calls/retry_budget.h"
#include "src/calls/self_identity.h"
#include "src/calls/target_reason.h"

namespace bronzeroute {

class caller_port;
class local_owner;
class member_directory;
class peer_port;
class route_directory;
class upstream_chooser;

/// Attempts sent for one call, the first included.
inline constexpr std::uint32_t kMaxAttempts = 3;

/// The entry's side of calls: from a caller's request to its one response.
template <typename Rules>
class basic_entry_system final : public attempt_listener {
 public:
  /// All references must outlive this object.
  basic_entry_system(const self_identity& self, caller_port& callers, peer_port& peers,
                     local_owner& local, upstream_chooser& chooser, member_directory& members,
                     route_directory& routes, std::uint64_t seed);

  /// Takes a request and returns the identity of its call. The response, which may come during
  /// this call, goes to `caller_port` exactly once.
  call_id OnCallerRequest(const caller_request& request, time_point now);
  /// The caller's connection closed. No further call to `caller_port` names `exchange`.
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

  void SetRetryShares(const retry_shares& shares) { retry_shares_ = shares; }

  /// Ends calls whose deadline passed.
  void Tick(time_point now);

  /// A new key for `service`, or the reason why there is none.
  std::variant<std::string, error_kind> IssueKey(std::string_view service, time_point now);

  /// The number of this run was raised. Open calls keep their identity.
  void RaiseRun(incarnation to) { self_.RaiseRun(to); }

  bool IsIdle() const { return calls_.empty(); }
  std::size_t open_calls() const { return calls_.size(); }
  std::size_t open_attempts() const { return attempts_.size(); }
  const call_log& log() const { return log_; }
  call_log& log() { return log_; }
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
    std::uint64_t route_id = 0;
    time_point objective;
    std::vector<member_id> excluded;
    error_kind last_refusal = error_kind::kNone;
    /// An attempt was sent and its fate is unknown.
    bool may_have_run = false;
    /// Owners that were offered the call once more as the later run that they are.
    std::uint32_t later_runs = 0;
    /// The later run of an owner that refused as an earlier one; it gets the next offer.
    std::optional<member_target> restarted;
    /// The response of the open attempt goes to the caller.
    bool response_started = false;
    call_log_row log;
  };
  struct attempt_row {
    member_target target;
    bool is_local = false;
  };
  struct chosen_target {
    member_target target;
    target_reason reason = target_reason::kChosen;
    choice_summary choice{};
    /// Extra cost of the next best owner; nothing if there is none.
    std::optional<duration> other_cost{};
  };

  /// True if the call may be offered to another owner.
  static bool HasAttemptsLeft(const call_row& row) {
    return row.attempts_sent < kMaxAttempts && row.attempts_admitted < row.max_admitted;
  }
  error_kind Classify(const caller_request& request, time_point now, call_row& row);
  std::variant<chosen_target, error_kind> PickTarget(call_row& row, time_point now);
  void StartAttempt(std::uint64_t sequence, time_point now);
  void RetryAfterRefusal(std::uint64_t sequence, error_kind kind, time_point now);
  void EndAfterLoss(std::uint64_t sequence, time_point now);

  /// The open attempt that `from` names, or null; counts what is dropped.
  attempt_row* FindOpen(const owner_message_identity& from, bool any_run);
  void CloseAttempt(const attempt_id& id, attempt_outcome outcome, error_kind result,
                    time_point now);
  /// Cancels the open attempt of a call that ends before it, if there is one.
  void AbandonAttempt(std::uint64_t sequence, attempt_outcome outcome, error_kind result,
                      time_point now);
  /// Ends the call with an error; `from_home` if the home of the key stated it.
  void EndWithError(std::uint64_t sequence, error_kind kind, int recorded_status,
                    bool from_home, time_point now);
  void EndTruncated(std::uint64_t sequence, error_kind kind, time_point now);
  /// Removes the call and writes its row of the log.
  void Remove(std::uint64_t sequence, error_kind result, int status, time_point now);
  static error_kind HonestKind(const call_row& row, error_kind kind, bool from_home);

  self_identity self_;
  caller_port& callers_;
  peer_port& peers_;
  local_owner& local_;
  upstream_chooser& chooser_;
  member_directory& members_;
  route_directory& routes_;
  std::mt19937_64 random_;

  std::uint64_t next_sequence_ = 1;
  absl::flat_hash_map<std::uint64_t, call_row> calls_;
  absl::flat_hash_map<exchange_id, std::uint64_t> by_exchange_;
  absl::flat_hash_map<attempt_id, attempt_row> attempts_;
  /// The budget of further attempts for `service`.
  retry_budget& BudgetOf(const std::string& service);

  retry_shares retry_shares_;
  absl::flat_hash_map<std::string, retry_budget> budgets_;
  call_log log_;
  entry_counters counters_;
};

extern template class basic_entry_system<call_rules>;
using entry_system = basic_entry_system<call_rules>;

}  // namespace bronzeroute
