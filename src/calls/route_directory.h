#pragma once

#include "src/calls/route_decision.h"

namespace bronzeroute {

struct caller_request;

/// The configuration in effect, as the entry uses it.
class route_directory {
 public:
  virtual ~route_directory() = default;

  /// The route of `request`. If a route has several targets, each call of this function selects
  /// one at random.
  virtual route_decision Find(const caller_request& request) = 0;
};

}  // namespace bronzeroute
