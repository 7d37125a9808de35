#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeroute {

/// What a `node_runtime` is told at the start besides its own addresses.
struct runtime_settings {
  /// "trial" or "production".
  std::string environment;
  /// Membership addresses of other daemons, asked while the log is unavailable.
  std::vector<std::string> seeds;
  /// Seed of all random choices.
  std::uint64_t seed = 0;
};

}  // namespace bronzeroute
