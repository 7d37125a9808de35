#pragma once

#include "src/base/error_kind.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Receives the later decisions of admission control on attempts that it queued.
class admission_listener {
 public:
  virtual ~admission_listener() = default;

  /// The attempt of `exchange` has a slot now.
  virtual void OnQueuedStart(exchange_id exchange, time_point now) = 0;
  /// The attempt was removed from the queue without a slot and was not run.
  virtual void OnQueuedRefused(exchange_id exchange, error_kind kind, time_point now) = 0;
};

}  // namespace bronzeroute
