#pragma once

#include <cstdint>

namespace bronzeroute {

/// What became of a member of the service in one choice.
enum class candidate_disposition : std::uint8_t {
  kChosen,
  /// Eligible, but the policy took another.
  kNotSelected,
  kExcludedByCaller,
  kDraining,
  kSuspect,
  kEjected,
  kOutsideRegions,
};

}  // namespace bronzeroute
