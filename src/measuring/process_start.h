#pragma once

#include "src/base/time.h"

namespace bronzeroute {

/// The start of a process on its own clock and in Unix time. Later changes of the instance's
/// clock do not move it.
struct process_start {
  time_point started{};
  /// Time since the Unix epoch at `started`.
  duration unix_time{};

  /// Unix time at time_point{}.
  duration UnixOffset() const { return unix_time - started.time_since_epoch(); }
};

}  // namespace bronzeroute
