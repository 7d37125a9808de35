#pragma once

#include <algorithm>
#include <string_view>

#include "src/configuration/service_spec.h"

namespace bronzeroute {

/// True if `service` is allowed to run in `region`.
inline bool MayRunIn(const service_spec& service, std::string_view region) {
  return service.regions.empty() ||
         std::ranges::find(service.regions, region) != service.regions.end();
}

}  // namespace bronzeroute
