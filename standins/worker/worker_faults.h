#pragma once

#include <cstdint>

namespace bronzeroute::standin {

/// Faults and speed of the worker stand-in; all of them may be changed while it runs.
struct worker_faults {
  /// Mean service time of short requests, in microseconds.
  std::int64_t service_us = 2'000;
  /// Every 5 ms, a new random factor from 1 to this one is applied to the service time; 1
  /// disables the changes.
  double speed_shift = 1.0;
  /// Responds 500 immediately without doing the work.
  bool fail_fast = false;
  /// Responds 503 immediately, without doing the work or recording a run.
  bool shed = false;
  /// Requests begin their service time only once this ends.
  bool hold = false;
  /// Closes the connection in the middle of the response.
  bool cut_response = false;
  /// The load endpoint always reports an idle worker.
  bool misleading_load = false;
};

}  // namespace bronzeroute::standin
