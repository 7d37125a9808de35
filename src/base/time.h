#pragma once

#include <chrono>

namespace bronzeroute {

using duration = std::chrono::microseconds;

/// Clock of the decision logic. It has no `now()`: the caller passes the time in, so that tests
/// and benchmarks run on a virtual clock.
struct node_clock {
  using rep = duration::rep;
  using period = duration::period;
  using duration = bronzeroute::duration;
  using time_point = std::chrono::time_point<node_clock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A point on the monotonic clock of one process, in microseconds. Never sent to another
/// process.
using time_point = node_clock::time_point;

}  // namespace bronzeroute
