#pragma once

#include <cstdint>
#include <string_view>

#include "src/calls/route_decision.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

struct caller_request;

/// The configuration in effect, as entry and owner use it.
class route_directory {
 public:
  virtual ~route_directory() = default;

  /// The route of `request`. If a route has several targets, each call of this function selects
  /// one at random.
  virtual route_decision Find(const caller_request& request) = 0;

  /// The regions that the configuration in effect allows for requests of the route and the
  /// account. A route or an account that the configuration does not contain sets no limit.
  virtual region_limit RegionsOf(std::uint64_t /*route_id*/,
                                 std::string_view /*account*/) const {
    return {};
  }
};

}  // namespace bronzeroute
