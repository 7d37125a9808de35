#pragma once

#include <cstdint>

namespace bronzeroute::standin {

/// Switches of the log stand-in; each may change while it runs.
struct log_faults {
  bool down = false;
  /// Added to every request, in milliseconds.
  std::int64_t delay_ms = 0;
  /// Number of coming appends that take effect without a response.
  std::int64_t lose_answers = 0;
  std::int64_t retention_ms = 3'600'000;
  std::int64_t appends_per_second = 400;
};

}  // namespace bronzeroute::standin
