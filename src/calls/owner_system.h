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
#include "src/calls/call_rules.h"
#include "src/calls/key_table.h"
#include "src/calls/local_owner.h"
#include "src/calls/owner_attempt_record.h"
#include "src/calls/owner_counters.h"
#include "src/calls/received_attempts.h"
#include "src/calls/self_identity.h"
#include "src/calls/upstream_outcome.h"

namespace bronzeroute {

class admission_gate;
class attempt_listener;
class peer_port;
class route_directory;
class upstream_port;

/// The owner's side of calls: from the arrival of an attempt to the end of its work at the
/// upstream. The owner is the daemon beside the upstream that was chosen for the attempt.
template <typename Rules>
class basic_owner_system final : public local_owner, public admission_listener {
 public:
  /// All references must outlive this object.
  basic_owner_system(const self_identity& self, peer_port& peers, upstream_port& upstreams,
                     admission_gate& gate, attempt_listener& local_entry,
                     const route_directory& routes,
                     std::size_t key_capacity = key_table::kDefaultCapacity);

  /// An attempt from another process. Its end is reported to `peer_port` exactly once unless
  /// `OnEntryDisconnected` was called before.
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now);
  /// The entry cancelled the attempt, or the link to it broke. `peer_port` gets no further call
  /// for `exchange`.
  void OnEntryDisconnected(exchange_id exchange, time_point now);

  bool HasFreeSlot(std::string_view service, bool is_long, time_point now) override;
  void OnLocalAttempt(exchange_id exchange, const attempt_head& head, time_point now) override;
  void OnLocalCancel(exchange_id exchange, time_point now) override;

  void OnQueuedStart(exchange_id exchange, time_point now) override;
  void OnQueuedRefused(exchange_id exchange, error_kind kind, time_point now) override;

  /// No connection could be made: it is certain that nothing was sent.
  void OnUpstreamConnectFailed(const attempt_id& attempt, time_point now);
  /// The response of the upstream states that it did not run the request.
  void OnUpstreamRefused(const attempt_id& attempt, time_point now);
  void OnUpstreamResponseHead(const attempt_id& attempt, int status, time_point now);
  /// The response ended; `complete` is false if its body was truncated.
  void OnUpstreamEnded(const attempt_id& attempt, bool complete, time_point now);
  /// The connection ended without a response, also after a cancellation.
  void OnUpstreamLost(const attempt_id& attempt, time_point now);

  /// Calls `OnFreeze` if more than `kFreezeGap` has passed since the last tick. The event
  /// functions of this class call it themselves; other code must call it before any event that
  /// may make the admission gate start queued work.
  void CheckFreeze(time_point now);
  /// Refuses queued work, which may be outdated after a freeze.
  void OnFreeze(time_point now);
  /// Refuses new work from now on and finishes what is running.
  void Drain(time_point now);
  /// Accepts work again: another incarnation of the upstream has started.
  void EndDrain() { drain_deadline_.reset(); }
  /// Enforces deadlines.
  void Tick(time_point now);

  /// The incarnation of this process was bumped. Work queued under the earlier one is refused.
  void BumpIncarnation(incarnation_id to) {
    self_.BumpIncarnation(to);
    keys_.BumpIncarnation(to);
  }

  using observer = std::function<void(const owner_attempt_record&)>;
  /// `on_end` is called once for every attempt, when it ends or is refused, except those
  /// refused as a duplicate, for their incarnation or for their key.
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
    /// The entry no longer needs the result.
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
  /// Repeats the checks for an attempt that got a slot, and sends it to the upstream.
  void Start(const attempt_id& id, time_point now);
  /// True if the configuration of this process allows the request to run in its region.
  bool MayRunHere(const attempt_head& head) const;
  attempt_row* FindStarted(const attempt_id& id);
  /// The outcome of work that ended without a complete response. That of an abandoned request
  /// does not count against the upstream before its deadline.
  static upstream_outcome OutcomeOfLoss(const attempt_row& row, time_point now);
  /// Removes the row and frees its slot if it has one.
  attempt_row Remove(const attempt_id& id, upstream_outcome outcome, time_point now);
  void EndKey(const attempt_row& row, key_state state, int status, time_point now);
  /// Ends an attempt that was not run by the upstream.
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
  const route_directory& routes_;

  absl::flat_hash_map<attempt_id, attempt_row> rows_;
  absl::flat_hash_map<exchange_id, attempt_id> by_exchange_;
  received_attempts record_;
  key_table keys_;
  std::optional<time_point> drain_deadline_;
  std::optional<time_point> last_tick_;
  owner_counters counters_;
  observer on_end_;
};

extern template class basic_owner_system<call_rules>;
using owner_system = basic_owner_system<call_rules>;

}  // namespace bronzeroute
