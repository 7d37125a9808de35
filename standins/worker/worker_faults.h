#pragma once

#include <cstdint>

namespace bronzeroute::standin {

/// Behaviour of the worker stand-in; each may change while it runs.
struct worker_faults {
  /// Mean time of short work, in microseconds.
  std::int64_t service_us = 2'000;
  /// The speed changes by up to this factor every few milliseconds; 1 switches it off.
  double speed_shift = 1.0;
  /// Answers 500 at once without doing the work.
  bool fail_fast = false;
  /// Answers 503 at once; the work is not done.
  bool shed = false;
  /// Closes the connection in the middle of the response.
  bool cut_response = false;
  /// The load endpoint reports an idle worker whatever the truth.
  bool misleading_load = false;
};

}  // namespace bronzeroute::standin
