#pragma once

#include "src/base/time.h"

namespace bronzeroute {

/// Start time of a process on its monotonic clock and in Unix time, taken once, so that later
/// changes of the system clock have no effect.
struct process_start {
  time_point started{};
  /// Unix time at `started`.
  duration unix_time{};

  /// Unix time at time_point{}.
  duration UnixOffset() const { return unix_time - started.time_since_epoch(); }
};

}  // namespace bronzeroute
