#pragma once

#include <cstdint>

#include "src/membership/member_row.h"

namespace bronzeroute {

/// Content of a record of a member, from a datagram or the log.
struct member_update {
  /// Service, region, zone and addresses are set only with `has_details`.
  member_row row;
  bool has_details = false;
  /// Counts changes of the details within one incarnation.
  std::uint32_t details_version = 0;
};

}  // namespace bronzeroute
