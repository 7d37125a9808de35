#pragma once

#include <cstdint>

#include "src/membership/member_row.h"

namespace bronzeroute {

/// What a record, from a datagram or the log, says about a member.
struct member_update {
  /// Service, region, zone and addresses are set only with `has_details`.
  member_row row;
  bool has_details = false;
  /// Counts changes of the details within one run.
  std::uint32_t details_version = 0;
};

}  // namespace bronzeroute
