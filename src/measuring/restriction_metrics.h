#pragma once

#include <cstddef>
#include <cstdint>

namespace bronzeroute {

/// What keeps work from upstreams at a daemon, besides their load.
struct restriction_metrics {
  /// Values of the configuration in effect that cannot be used as written.
  std::size_t replaced_values = 0;
  /// Availability zones that this daemon knows to be evacuated.
  std::size_t evacuated_zones = 0;
  /// Starts per second that the upstream beside this daemon takes as it is cold; 0 if it is
  /// warm or has no limit.
  double cold_rate_per_s = 0;
  /// Work that the limit of a cold upstream held back.
  std::uint64_t held_by_cold_limit = 0;
};

}  // namespace bronzeroute
