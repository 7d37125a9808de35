#pragma once

#include "src/base/error_kind.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Receives the later decisions on attempts that Submit queued. Called when the state of the
/// admission system is consistent, so an implementation may call back into it.
class queue_listener {
 public:
  virtual ~queue_listener() = default;

  /// The queued attempt got a slot and a connection; its request must be sent now.
  virtual void OnQueuedStarted(exchange_id exchange) = 0;

  /// The queued attempt was removed; it was not run.
  virtual void OnQueuedRefused(exchange_id exchange, error_kind kind) = 0;
};

}  // namespace bronzeroute
