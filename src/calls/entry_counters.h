#pragma once

#include <cstdint>

namespace bronzeroute {

/// Totals of the entry since the start of the process.
struct entry_counters {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t attempts_after_refusal = 0;
  /// Attempts after one that was lost and may have run.
  std::uint64_t reexecutions = 0;
  /// Further attempts not made because the retry budget was empty.
  std::uint64_t budget_refusals = 0;
  /// Messages from owners that were ignored, most of them because no open attempt matched.
  std::uint64_t dropped_responses = 0;
  std::uint64_t aborted_responses = 0;
};

}  // namespace bronzeroute
