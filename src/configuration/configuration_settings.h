#pragma once

#include <cstdint>
#include <string>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// What a `configuration_system` is told at the start.
struct configuration_settings {
  /// "trial" or "production".
  std::string environment;
  member_id self;
  /// Seed of the jitter.
  std::uint64_t seed = 0;
};

}  // namespace bronzeroute
