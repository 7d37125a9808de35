#pragma once

#include <string>

namespace bronzeroute {

/// A service that takes a share of a route's requests.
struct route_target {
  std::string service;
  /// Share of the requests, relative to the weights of the route's other targets.
  double weight = 1;
};

}  // namespace bronzeroute
