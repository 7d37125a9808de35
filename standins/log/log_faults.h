#pragma once

#include <cstdint>

namespace bronzeroute::standin {

/// Faults and limits of the log stand-in; all of them may be changed while it runs.
struct log_faults {
  bool down = false;
  /// Delay added to every request, in milliseconds.
  std::int64_t delay_ms = 0;
  /// Number of following appends that take effect but get status 504 in place of their result.
  std::int64_t lose_answers = 0;
  std::int64_t retention_ms = 3'600'000;
  std::int64_t appends_per_second = 400;
};

}  // namespace bronzeroute::standin
