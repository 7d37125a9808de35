#pragma once

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"
#include "src/calls/peer_port.h"
#include "src/routing/distance.h"
#include "src/routing/hint_rate_limiter.h"

namespace bronzeroute {

class budget_account;

/// Limits how often responses carry load hints and charges the hints to the measuring budget. A
/// hint that is not due or exceeds the budget is left out; the message itself is always sent.
class metered_peer_port final : public peer_port {
 public:
  /// Both must outlive the port.
  metered_peer_port(peer_port& peers, budget_account& budget)
      : peers_(peers), budget_(budget) {}

  /// An attempt from `entry` at distance `where` arrived; its response may carry a hint.
  void OnPeerAttempt(exchange_id exchange, member_id entry, distance where) {
    entries_[exchange] = {entry, where};
  }
  /// The attempt ended without a response on `exchange`.
  void OnEntryDisconnected(exchange_id exchange) { entries_.erase(exchange); }
  /// Sets the time at which the following hints are charged.
  void SetTime(time_point now) { now_ = now; }

  bool IsReady(member_id peer, bool is_long) override;
  bool SendAttempt(exchange_id exchange, const attempt_head& head) override;
  void CancelAttempt(exchange_id exchange, const attempt_id& attempt) override;
  void AdmitAttempt(exchange_id exchange, const load_hint& hint) override;
  void RefuseAttempt(exchange_id exchange, error_kind kind, int recorded_status,
                     const load_hint& hint) override;
  void RelayToEntry(exchange_id exchange, const attempt_id& attempt) override;
  void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) override;

 private:
  struct entry_row {
    member_id entry;
    distance where = distance::kOtherRegion;
  };

  /// Returns `hint` after charging it, or an empty hint if it is not due or the budget is
  /// exhausted. Removes the row of `exchange`.
  load_hint ChargeHint(exchange_id exchange, const load_hint& hint, bool is_refusal);

  peer_port& peers_;
  budget_account& budget_;
  absl::flat_hash_map<exchange_id, entry_row> entries_;
  hint_rate_limiter hint_rate_limiter_;
  time_point now_;
};

}  // namespace bronzeroute
