#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Identity of this process in calls.
struct self_identity {
  member_id id;
  incarnation_id incarnation;
  /// Monotonic time at which the Unix time in milliseconds was equal to the incarnation.
  time_point started;
  /// Region of this process and of the upstream beside it.
  std::string region{};

  /// Unix time in milliseconds, derived from the incarnation and the monotonic clock. It never
  /// jumps within one incarnation, so a key and its row expire consistently.
  std::int64_t UnixMs(time_point now) const {
    return static_cast<std::int64_t>(incarnation.value) +
           std::chrono::duration_cast<std::chrono::milliseconds>(now - started).count();
  }

  /// Bumps the incarnation of the running process. `started` moves by the same amount, so
  /// `UnixMs` continues without a jump.
  void BumpIncarnation(incarnation_id to) {
    started += std::chrono::milliseconds(to.value - incarnation.value);
    incarnation = to;
  }
};

}  // namespace bronzeroute
