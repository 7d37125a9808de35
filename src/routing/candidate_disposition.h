#pragma once

#include <cstdint>

namespace bronzeroute {

/// Why a member of the service was or was not chosen.
enum class candidate_disposition : std::uint8_t {
  kChosen,
  /// Eligible, but the policy selected another member.
  kNotSelected,
  kExcludedByCaller,
  kDraining,
  kSuspect,
  kEjected,
  /// The service does not run in the member's region.
  kOutsideRegions,
  /// Its availability zone is evacuated.
  kEvacuated,
  /// The route or the account of the request does not allow the member's region.
  kOutsideRequestRegions,
};

}  // namespace bronzeroute
