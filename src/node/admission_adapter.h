#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/calls/admission_gate.h"

namespace bronzeroute {

struct service_spec;
struct upstream_announcement;
struct upstream_notice;

/// Adapts the admission system to the interface that the owner uses.
class admission_adapter final : public admission_gate, private queue_listener {
 public:
  explicit admission_adapter(bool eject_on_error_answers)
      : eject_on_error_answers_(eject_on_error_answers), system_(this) {}

  /// Sets the limits from the document and the announcement. `is_allowed` is false if the
  /// document does not allow the service in this region; all work is then refused.
  void Configure(const service_spec& spec, const upstream_announcement& upstream,
                 bool is_allowed, time_point now);

  /// Sets the accounts of the document in effect, between which the queue is shared.
  void SetAccounts(std::span<const account_spec> accounts) { system_.SetAccounts(accounts); }

  /// The upstream stopped announcing itself: new work is refused until `Configure`, while
  /// running work completes.
  void OnUpstreamGone() { service_.clear(); }
  /// Another incarnation of the upstream announced itself, which starts cold. A drain of the
  /// daemon stays in effect.
  void OnUpstreamReplaced(time_point now);
  /// Accepts work again after an upstream that left was replaced.
  void EndDrain(time_point now);
  /// The upstream is cold, and slow, until `warm_at`.
  void SetWarmAt(time_point warm_at, time_point now);

  /// The upstream reported its current service time in percent of the usual one.
  void OnServiceTimePercent(std::uint32_t percent, time_point now) {
    system_.SetServiceTimePercent(percent, now);
  }

  /// The upstream named a limit with a response, or none.
  void OnNotice(const upstream_notice& notice, time_point now);

  void SetListener(admission_listener* listener) override { listener_ = listener; }
  bool HasFreeSlot(std::string_view service, bool is_long, time_point now) override;
  admission_result Submit(exchange_id exchange, const attempt_head& head,
                          time_point now) override;
  void Cancel(exchange_id exchange, time_point now) override;
  void OnUpstreamEnded(exchange_id exchange, upstream_outcome outcome, time_point now) override;
  load_hint Hint(time_point now) override;

  void Drain(time_point now);
  /// While the availability zone is evacuated, new work is refused, and so is work that is
  /// queued when the evacuation begins; running work finishes. The upstream may be cold when
  /// the evacuation ends.
  void SetEvacuated(bool is_evacuated, time_point now);
  bool is_evacuated() const { return is_evacuated_; }
  /// From now on, new work is refused after a freeze until news of an evacuation that began
  /// meanwhile would have been handled.
  void HoldAfterFreeze() { holds_after_freeze_ = true; }
  void Tick(time_point now);
  const admission_system& system() const { return system_; }

 private:
  void OnQueuedStarted(exchange_id exchange) override;
  void OnQueuedRefused(exchange_id exchange, error_kind kind) override;

  /// True if the process was frozen until now or until recently, and holds work after that.
  bool IsHeld(time_point now) const;
  upstream_result ResultOf(upstream_outcome outcome) const;

  bool eject_on_error_answers_;
  admission_listener* listener_ = nullptr;
  admission_system system_;
  std::string service_;
  bool is_allowed_ = false;
  bool is_evacuated_ = false;
  bool holds_after_freeze_ = false;
  std::optional<time_point> last_tick_;
  /// End of the hold after the last freeze.
  time_point held_until_;
  /// Start time of each running exchange, from which its service time is computed.
  absl::flat_hash_map<exchange_id, time_point> started_;
  /// Time of the event that is being handled.
  time_point now_;
};

}  // namespace bronzeroute
