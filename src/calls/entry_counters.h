#pragma once

#include <cstdint>

namespace bronzeroute {

/// Totals of the entry since the start of the process.
struct entry_counters {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t attempts_after_refusal = 0;
  std::uint64_t reexecutions = 0;
  std::uint64_t budget_refusals = 0;
  /// Messages whose identity matched no open attempt.
  std::uint64_t dropped_responses = 0;
  std::uint64_t aborted_responses = 0;
};

}  // namespace bronzeroute
