#pragma once

#include <chrono>

namespace bronzeroute {

using duration = std::chrono::microseconds;

/// Clock of the decision logic. It has no `now()`: the caller passes the time in, so that tests
/// and benchmarks run on a virtual clock.
struct node_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<node_clock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A span of time in microseconds. Long-lived state stores points in time instead, such as
/// deadlines.
using duration = node_clock::duration;

/// A point on the monotonic clock of one process, in microseconds. Never sent to another
/// process.
using time_point = node_clock::time_point;

}  // namespace bronzeroute
