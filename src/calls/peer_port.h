#pragma once

#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

struct attempt_head;
struct load_hint;

/// Attempts between daemons, both directions. Implemented by the transport, mocked in tests.
class peer_port {
 public:
  virtual ~peer_port() = default;

  /// True if a channel to `peer` is open, so that an attempt would be written at once.
  virtual bool IsReady(member_id peer, bool is_long) = 0;

  /// Entry side. Sends `head` to `head.target` with the body of `exchange`. Returns false, and
  /// has sent nothing, if no channel is open. The body of long work follows only after the
  /// owner admitted it.
  virtual bool SendAttempt(exchange_id exchange, const attempt_head& head) = 0;

  /// Entry side. Tells the owner that nobody waits for the attempt any more.
  virtual void CancelAttempt(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Owner side. Tells the entry that the attempt got a slot.
  virtual void AdmitAttempt(exchange_id exchange, const load_hint& hint) = 0;

  /// Owner side. Ends the attempt; `kind` says what is known about its execution.
  virtual void RefuseAttempt(exchange_id exchange, error_kind kind, int recorded_status,
                             const load_hint& hint) = 0;

  /// Owner side. Passes head and body of the upstream's answer on to the entry.
  virtual void RelayToEntry(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Owner side. Sends the end of an answer; `complete` is false for a cut body.
  virtual void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) = 0;
};

}  // namespace bronzeroute
