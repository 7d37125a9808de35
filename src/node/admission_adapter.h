#pragma once

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/calls/admission_gate.h"

namespace bronzeroute {

struct service_spec;
struct upstream_announcement;

/// Puts the admission system behind the interface that the owner uses.
class admission_adapter final : public admission_gate, private queue_listener {
 public:
  explicit admission_adapter(bool eject_on_error_answers)
      : eject_on_error_answers_(eject_on_error_answers), system_(this) {}

  /// Takes the limits of the document and of the announcement. All work is refused while
  /// `is_allowed` is false, because the document does not let the service run in this region.
  void Configure(const service_spec& spec, const upstream_announcement& upstream,
                 bool is_allowed, time_point now);

  /// The upstream is gone: nothing is offered to it until `Configure`. Running work ends.
  void OnUpstreamGone() { service_.clear(); }
  /// Another run of the upstream is there, which starts cold. A drain of the daemon stays in
  /// force.
  void OnUpstreamReplaced(time_point now);
  /// Takes work again after the upstream that left was replaced.
  void EndDrain(time_point now) { system_.OnUpstreamReplaced(now); }
  /// The upstream is slow until `warm_at`.
  void SetWarmAt(time_point warm_at, time_point now) { system_.SetWarmAt(warm_at, now); }

  /// The upstream says how long work takes now, in percent of the usual time.
  void OnServiceTimePercent(std::uint32_t percent, time_point now) {
    system_.SetServiceTimePercent(percent, now);
  }

  void SetListener(admission_listener* listener) override { listener_ = listener; }
  bool HasFreeSlot(std::string_view service, bool is_long, time_point now) override;
  admission_result Submit(exchange_id exchange, const attempt_head& head,
                          time_point now) override;
  void Cancel(exchange_id exchange, time_point now) override;
  void OnUpstreamEnded(exchange_id exchange, upstream_outcome outcome, time_point now) override;
  load_hint Hint(time_point now) override { return system_.Hint(now); }

  void Drain(time_point now);
  void Tick(time_point now);
  const admission_system& system() const { return system_; }

 private:
  void OnQueuedStarted(exchange_id exchange) override;
  void OnQueuedRefused(exchange_id exchange, error_kind kind) override;

  upstream_result ResultOf(upstream_outcome outcome) const;

  bool eject_on_error_answers_;
  admission_listener* listener_ = nullptr;
  admission_system system_;
  std::string service_;
  bool is_allowed_ = false;
  /// Start of the running work, from which service times are taken.
  absl::flat_hash_map<exchange_id, time_point> started_;
  /// Time of the event that is being handled.
  time_point now_;
};

}  // namespace bronzeroute
