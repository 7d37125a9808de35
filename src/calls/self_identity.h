#pragma once

#include <chrono>
#include <cstdint>

#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// This process as calls name it.
struct self_identity {
  member_id id;
  incarnation_id incarnation;
  /// Time on the monotonic clock at which `run` was the Unix time in ms.
  time_point started;

  /// Unix time in milliseconds, derived from the incarnation and the monotonic clock: it never
  /// jumps within one run, so the expiry of a key and of its row agree.
  std::int64_t UnixMs(time_point now) const {
    return static_cast<std::int64_t>(incarnation.value) +
           std::chrono::duration_cast<std::chrono::milliseconds>(now - started).count();
  }

  /// Takes a later number for the same run. `UnixMs` goes on as before: `started` moves with
  /// the number.
  void BumpIncarnation(incarnation_id to) {
    started += std::chrono::milliseconds(to.value - incarnation.value);
    incarnation = to;
  }
};

}  // namespace bronzeroute
