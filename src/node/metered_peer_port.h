#pragma once

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"
#include "src/calls/peer_port.h"
#include "src/routing/distance.h"

namespace bronzeroute {

class budget_account;

/// Charges the load hints on responses to the measuring budget. A hint that the budget refuses
/// is left out of its message; the message itself always goes.
class metered_peer_port final : public peer_port {
 public:
  /// Both must outlive the port.
  metered_peer_port(peer_port& peers, budget_account& budget)
      : peers_(peers), budget_(budget) {}

  /// An attempt of an entry at `where` arrived; its response will carry a hint.
  void OnPeerAttempt(exchange_id exchange, distance where) { distances_[exchange] = where; }
  /// The attempt is over, however it ended.
  void OnPeerGone(exchange_id exchange) { distances_.erase(exchange); }
  /// The time at which the next hints are charged.
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
  /// `hint`, or one without content if the budget is used up. Ends the row of `exchange`.
  load_hint Charged(exchange_id exchange, const load_hint& hint);

  peer_port& peers_;
  budget_account& budget_;
  absl::flat_hash_map<exchange_id, distance> distances_;
  time_point now_;
};

}  // namespace bronzeroute
