#pragma once

#include <cstdint>
#include <string>

#include "src/base/time.h"

namespace bronzeroute {

/// What the upstream beside this daemon last announced.
struct upstream_announcement {
  std::string service;
  /// "ip:port" at which the upstream takes requests.
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// The upstream counts as gone if no announcement arrives before.
  time_point gone_at;
};

}  // namespace bronzeroute
