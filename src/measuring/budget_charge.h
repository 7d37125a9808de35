#pragma once

#include <cstdint>

#include "src/base/time.h"
#include "src/measuring/charge_purpose.h"
#include "src/routing/distance.h"

namespace bronzeroute {

/// Cost of one measurement in network bytes and in upstream time.
struct budget_charge {
  std::uint64_t bytes = 0;
  duration upstream_time{};
  charge_purpose purpose = charge_purpose::kMembershipProbe;
  distance where = distance::kSameZone;
};

}  // namespace bronzeroute
