#pragma once

#include "src/base/error_kind.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Receives what happens to queued attempts after Offer. Called when the state of the admission
/// system is consistent, so an implementation may call back into it.
class queue_listener {
 public:
  virtual ~queue_listener() = default;

  /// The queued attempt got a slot and a connection; its request is to be sent now.
  virtual void OnQueuedStarted(exchange_id exchange) = 0;

  /// The queued attempt is removed; it has not run.
  virtual void OnQueuedRefused(exchange_id exchange, error_kind kind) = 0;
};

}  // namespace bronzeroute
