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

  /// True if the upstream beside this process has a free slot for work of `service`.
  virtual bool HasFreeSlot(std::string_view service, bool is_long, time_point now) = 0;
  /// Accepts an attempt from the entry in this process. Results are reported to the
  /// `attempt_listener`, possibly before this function returns.
  virtual void OnLocalAttempt(exchange_id exchange, const attempt_head& head,
                              time_point now) = 0;
  /// The entry no longer needs the result of the attempt of `exchange`. The listener gets no
  /// further call for it.
  virtual void OnLocalCancel(exchange_id exchange, time_point now) = 0;
};

}  // namespace bronzeroute
