#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Totals for one purpose and distance since the process started.
struct budget_counter {
  std::uint64_t charges = 0;
  std::uint64_t bytes = 0;
  duration upstream_time{};
  /// Charges refused for lack of tokens.
  std::uint64_t refused = 0;
  /// Charges that `ChargeAlways` made although there were too few tokens.
  std::uint64_t forced = 0;
};

}  // namespace bronzeroute
