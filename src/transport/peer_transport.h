#pragma once

#include "src/calls/peer_port.h"
#include "src/transport/peer_client.h"
#include "src/transport/peer_counters.h"
#include "src/transport/peer_server.h"

namespace bronzeroute {

/// Both sides of the link between daemons.
class peer_transport : public peer_port {
 public:
  /// Both must outlive this object.
  peer_transport(exchange_table& exchanges, transport_events& events);

  peer_client& client() { return client_; }
  peer_server& server() { return server_; }
  const peer_counters& counters() const { return counters_; }

  bool IsReady(member_id peer, bool is_long) override;
  bool SendAttempt(exchange_id exchange, const attempt_head& head) override;
  void CancelAttempt(exchange_id exchange, const attempt_id& attempt) override;
  void AdmitAttempt(exchange_id exchange, const load_hint& hint) override;
  void RefuseAttempt(exchange_id exchange, error_kind kind, int recorded_status,
                     const load_hint& hint) override;
  void RelayToEntry(exchange_id exchange, const attempt_id& attempt) override;
  void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) override;

 private:
  peer_counters counters_;
  peer_client client_;
  peer_server server_;
};

}  // namespace bronzeroute
