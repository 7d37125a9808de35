#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Totals of one purpose at one distance since the start.
struct budget_counter {
  std::uint64_t charges = 0;
  std::uint64_t bytes = 0;
  duration upstream_time{};
  /// Charges refused because the account was empty.
  std::uint64_t refused = 0;
  /// Charges taken on credit by `ChargeAlways` while the account was empty.
  std::uint64_t forced = 0;
};

}  // namespace bronzeroute
