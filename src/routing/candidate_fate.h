#pragma once

#include <cstdint>

namespace bronzeroute {

/// What became of a member of the service in one choice.
enum class candidate_fate : std::uint8_t {
  kChosen,
  /// Eligible, but the policy took another.
  kNotTaken,
  kExcludedByCaller,
  kDraining,
  kSuspect,
  kEjected,
  kOutsideRegions,
};

}  // namespace bronzeroute
