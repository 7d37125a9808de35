#pragma once

#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

struct attempt_head;
struct load_hint;

/// Messages about attempts between daemons, in both directions. Implemented by the transport,
/// mocked in tests.
class peer_port {
 public:
  virtual ~peer_port() = default;

  /// True if a channel to `peer` is open, so that an attempt can be sent without a delay.
  virtual bool IsReady(member_id peer, bool is_long) = 0;

  /// Entry side. Sends `head` and the body of `exchange` to `head.target`. Returns false and
  /// sends nothing if no channel is open. The body of long work is sent only after the owner
  /// has admitted it.
  virtual bool SendAttempt(exchange_id exchange, const attempt_head& head) = 0;

  /// Entry side. Notifies the owner that the result of the attempt is no longer needed.
  virtual void CancelAttempt(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Owner side. Notifies the entry that the attempt got a slot.
  virtual void AdmitAttempt(exchange_id exchange, const load_hint& hint) = 0;

  /// Owner side. Ends the attempt with an error; `kind` implies whether it ran.
  virtual void RefuseAttempt(exchange_id exchange, error_kind kind, int recorded_status,
                             const load_hint& hint) = 0;

  /// Owner side. Relays head and body of the upstream's response to the entry.
  virtual void RelayToEntry(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Owner side. Sends the end of a response; `complete` is false for a truncated body.
  virtual void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) = 0;
};

}  // namespace bronzeroute
