#pragma once

#include <string_view>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/calls/admission_result.h"
#include "src/calls/upstream_outcome.h"

namespace bronzeroute {

class admission_listener;
struct attempt_head;
struct load_hint;

/// Admission control for the upstream beside this process, as the owner uses it.
class admission_gate {
 public:
  virtual ~admission_gate() = default;

  virtual void SetListener(admission_listener* listener) = 0;

  /// True if work of `service` would start at once.
  virtual bool HasFreeSlot(std::string_view service, bool is_long, time_point now) = 0;
  /// Submits an attempt. A started attempt holds a slot until `OnUpstreamEnded`.
  virtual admission_result Submit(exchange_id exchange, const attempt_head& head,
                                  time_point now) = 0;
  /// Removes a queued attempt without a call to the listener.
  virtual void Cancel(exchange_id exchange, time_point now) = 0;
  /// Frees the slot; may start queued attempts through the listener.
  virtual void OnUpstreamEnded(exchange_id exchange, upstream_outcome outcome,
                               time_point now) = 0;
  /// The load state to report to entries.
  virtual load_hint Hint(time_point now) = 0;
};

}  // namespace bronzeroute
