#pragma once

#include <string_view>

#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

struct attempt_head;

/// The owner in the same process, as the entry uses it.
class local_owner {
 public:
  virtual ~local_owner() = default;

  /// True if the upstream beside this process would start work of `service` at once.
  virtual bool HasFreeSlot(std::string_view service, bool is_long, time_point now) = 0;
  /// Takes an attempt of this process. Results go to the `attempt_listener`, also during the
  /// call.
  virtual void OnLocalAttempt(exchange_id exchange, const attempt_head& head,
                              time_point now) = 0;
  /// Nobody waits for the attempt of `exchange` any more. The listener hears nothing further.
  virtual void OnLocalCancel(exchange_id exchange, time_point now) = 0;
};

}  // namespace bronzeroute
