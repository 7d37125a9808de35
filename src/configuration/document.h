#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/service_spec.h"

namespace bronzeroute {

/// What the operators of one environment publish.
struct document {
  std::string name;
  /// Budget of one daemon for measuring upstreams.
  std::uint32_t measuring_bytes_per_second = 0;
  std::uint32_t measuring_upstream_ms_per_second = 0;
  std::vector<service_spec> services;

  /// The service with `name`, or null.
  const service_spec* FindService(std::string_view service_name) const;
};

}  // namespace bronzeroute
