#pragma once

#include <cstdint>

namespace bronzeroute {

/// Totals of one account at one daemon.
struct usage_counters {
  /// Requests that got a token, and those refused for lack of one.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  /// Tokens taken from the pool of this daemon, for itself or for other daemons.
  std::uint64_t lent = 0;
  /// Tokens borrowed from other daemons, and those of them that expired unused.
  std::uint64_t borrowed = 0;
  std::uint64_t expired = 0;
};

}  // namespace bronzeroute
