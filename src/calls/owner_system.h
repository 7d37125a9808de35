#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/admission_listener.h"
#include "src/calls/attempt_head.h"
#include "src/calls/attempt_record.h"
#include "src/calls/call_rules.h"
#include "src/calls/key_table.h"
#include "src/calls/local_owner.h"
#include "src/calls/owner_counters.h"
#include "src/calls/owner_log_row.h"
#include "src/calls/self_identity.h"
#include "src/calls/upstream_outcome.h"

namespace bronzeroute {

class admission_gate;
class attempt_listener;
class peer_port;
class upstream_port;

/// The owner's side of calls: from an attempt to the end of its work at the upstream.
template <typename Rules>
class basic_owner_system final : public local_owner, public admission_listener {
 public:
  /// All references must outlive this object.
  basic_owner_system(const self_identity& self, peer_port& peers, upstream_port& upstreams,
                     admission_gate& gate, attempt_listener& local_entry,
                     std::size_t key_capacity = key_table::kDefaultCapacity);

  /// An attempt of another process. The end goes to `peer_port` exactly once unless
  /// `OnPeerGone` came before.
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now);
  /// The entry cancelled the attempt, or its link broke. No further call to `peer_port` names
  /// `exchange`.
  void OnPeerGone(exchange_id exchange, time_point now);

  bool HasFreeSlot(std::string_view service, bool is_long, time_point now) override;
  void OnLocalAttempt(exchange_id exchange, const attempt_head& head, time_point now) override;
  void OnLocalCancel(exchange_id exchange, time_point now) override;

  void OnQueuedStart(exchange_id exchange, time_point now) override;
  void OnQueuedRefused(exchange_id exchange, error_kind kind, time_point now) override;

  /// No connection could be made: it is certain that nothing was sent.
  void OnUpstreamConnectFailed(const attempt_id& attempt, time_point now);
  /// The upstream stated that it did not run the request.
  void OnUpstreamRefused(const attempt_id& attempt, time_point now);
  void OnUpstreamResponseHead(const attempt_id& attempt, int status, time_point now);
  /// The response ended; `complete` is false if its body was cut.
  void OnUpstreamEnded(const attempt_id& attempt, bool complete, time_point now);
  /// The connection ended without a response, also after a cancellation.
  void OnUpstreamLost(const attempt_id& attempt, time_point now);

  /// Calls `OnFreeze` after a gap above `kFreezeGap` since the last tick. Events of this class
  /// do so themselves; it must also precede events that let the gate start queued work.
  void CheckFreeze(time_point now);
  /// Refuses queued work.
  void OnFreeze(time_point now);
  /// Refuses new work from now on and finishes what is running.
  void Drain(time_point now);
  /// Takes work again: another run of the upstream is there.
  void EndDrain() { drain_deadline_.reset(); }
  /// Enforces deadlines.
  void Tick(time_point now);

  /// The number of this run was raised. Work that still waits under the earlier one is refused.
  void RaiseRun(incarnation to) {
    self_.RaiseRun(to);
    keys_.RaiseRun(to);
  }

  using observer = std::function<void(const owner_log_row&)>;
  /// `on_end` sees every attempt once, when it ends or is refused.
  void SetObserver(observer on_end) { on_end_ = std::move(on_end); }

  bool IsDraining() const { return drain_deadline_.has_value(); }
  bool IsIdle() const { return rows_.empty(); }
  std::size_t open_attempts() const { return rows_.size(); }
  const key_table& keys() const { return keys_; }
  const owner_counters& counters() const { return counters_; }

 private:
  enum class row_state : std::uint8_t { kQueued, kStarted, kResponding };
  struct attempt_row {
    exchange_id exchange;
    attempt_head head;
    bool is_local = false;
    /// Nobody waits for the result.
    bool is_abandoned = false;
    bool is_cancelled = false;
    /// HTTP status of the response, 0 before its head.
    int status = 0;
    row_state state = row_state::kQueued;
    time_point arrived{};
    time_point started{};
  };

  void Accept(exchange_id exchange, const attempt_head& head, bool is_local, time_point now);
  void Abandon(exchange_id exchange, time_point now);
  /// Hands work that has a slot to the upstream after the last checks.
  void Start(const attempt_id& id, time_point now);
  attempt_row* FindStarted(const attempt_id& id);
  /// A request that nobody waits for says nothing about the upstream before its deadline.
  static upstream_outcome OutcomeOfLoss(const attempt_row& row, time_point now);
  /// Removes the row and frees its slot if it has one.
  attempt_row Remove(const attempt_id& id, upstream_outcome outcome, time_point now);
  void EndKey(const attempt_row& row, key_state state, int status, time_point now);
  /// Ends an attempt that never reached the upstream.
  void Refuse(const attempt_id& id, error_kind kind, upstream_outcome outcome, time_point now);
  void SendRefusal(exchange_id exchange, const attempt_id& id, bool is_local, error_kind kind,
                   int recorded_status, time_point now);
  void Observe(const attempt_row& row, error_kind result, bool complete, time_point now) const;
  void SendFinish(const attempt_row& row, bool complete, time_point now);
  /// Refuses queued attempts for which `pick` returns an error kind.
  template <typename Pick>
  void RefuseQueued(Pick pick, time_point now);

  self_identity self_;
  peer_port& peers_;
  upstream_port& upstreams_;
  admission_gate& gate_;
  attempt_listener& local_entry_;

  absl::flat_hash_map<attempt_id, attempt_row> rows_;
  absl::flat_hash_map<exchange_id, attempt_id> by_exchange_;
  attempt_record record_;
  key_table keys_;
  std::optional<time_point> drain_deadline_;
  std::optional<time_point> last_tick_;
  owner_counters counters_;
  observer on_end_;
};

extern template class basic_owner_system<call_rules>;
using owner_system = basic_owner_system<call_rules>;

}  // namespace bronzeroute
