#include "src/transport/peer_transport.h"

#include "src/transport/attempt_reactor.h"

namespace bronzeroute {

peer_transport::peer_transport(exchange_table& exchanges, transport_events& events)
    : client_(exchanges, events, counters_), server_(exchanges, events, counters_) {}

bool peer_transport::IsReady(member_id peer, bool is_long) {
  return client_.IsReady(peer, is_long);
}

bool peer_transport::SendAttempt(exchange_id exchange, const attempt_head& head) {
  return client_.SendAttempt(exchange, head);
}

void peer_transport::CancelAttempt(exchange_id exchange, const attempt_id& attempt) {
  client_.CancelAttempt(exchange, attempt);
}

void peer_transport::AdmitAttempt(exchange_id exchange, const load_hint& hint) {
  if (const auto reactor = server_.Find(exchange)) reactor->Admit(hint);
}

void peer_transport::RefuseAttempt(exchange_id exchange, error_kind kind, int recorded_status,
                                   const load_hint& hint) {
  if (const auto reactor = server_.Find(exchange)) reactor->Refuse(kind, recorded_status, hint);
}

void peer_transport::RelayToEntry(exchange_id exchange, const attempt_id& attempt) {
  if (const auto reactor = server_.Find(exchange)) reactor->Relay(attempt);
}

void peer_transport::FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) {
  if (const auto reactor = server_.Find(exchange)) reactor->FinishResponse(complete, hint);
}

}  // namespace bronzeroute
