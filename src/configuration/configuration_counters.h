#pragma once

#include <cstdint>

namespace bronzeroute {

/// How often a daemon had to look for a configuration, since the start of the process.
struct configuration_counters {
  /// Waiting reads of the log that were given up for a new one.
  std::uint64_t renewed_reads = 0;
  /// Requests to peers for their version, and those that brought none.
  std::uint64_t fetches = 0;
  std::uint64_t failed_fetches = 0;
};

}  // namespace bronzeroute
