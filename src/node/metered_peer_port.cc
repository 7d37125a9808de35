#include "src/node/metered_peer_port.h"

#include "src/base/attempt_id.h"
#include "src/measuring/budget_account.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {
namespace {

// Encoded size of a hint with its field header, with typical values of its nine numbers.
constexpr std::uint64_t kHintBytes = 24;

}  // namespace

load_hint metered_peer_port::ChargeHint(exchange_id exchange, const load_hint& hint,
                                        bool is_refusal) {
  const auto row = entries_.find(exchange);
  if (row == entries_.end()) {
    return {};
  }
  const entry_row to = row->second;
  entries_.erase(row);
  if (!hint_rate_limiter_.IsDue(to.entry, hint, is_refusal, now_)) {
    return {};
  }
  const budget_charge charge{
      .bytes = kHintBytes, .purpose = charge_purpose::kLoadHint, .where = to.where};
  return budget_.TryCharge(charge, now_) ? hint : load_hint{};
}

bool metered_peer_port::IsReady(member_id peer, bool is_long) {
  return peers_.IsReady(peer, is_long);
}

bool metered_peer_port::SendAttempt(exchange_id exchange, const attempt_head& head) {
  return peers_.SendAttempt(exchange, head);
}

void metered_peer_port::CancelAttempt(exchange_id exchange, const attempt_id& attempt) {
  peers_.CancelAttempt(exchange, attempt);
}

void metered_peer_port::AdmitAttempt(exchange_id exchange, const load_hint& /*hint*/) {
  // The end of the attempt carries a newer hint.
  peers_.AdmitAttempt(exchange, load_hint{});
}

void metered_peer_port::RefuseAttempt(exchange_id exchange, error_kind kind,
                                      int recorded_status, const load_hint& hint) {
  peers_.RefuseAttempt(exchange, kind, recorded_status, ChargeHint(exchange, hint, true));
}

void metered_peer_port::RelayToEntry(exchange_id exchange, const attempt_id& attempt) {
  peers_.RelayToEntry(exchange, attempt);
}

void metered_peer_port::FinishAttempt(exchange_id exchange, bool complete,
                                      const load_hint& hint) {
  peers_.FinishAttempt(exchange, complete, ChargeHint(exchange, hint, false));
}

}  // namespace bronzeroute
