#pragma once

#include <string>

namespace bronzeroute {

/// A service that takes a share of a route's requests.
struct route_target {
  /// Empty for a share that no service of the document can take: its requests are refused.
  std::string service;
  /// Share of the requests, relative to the weights of the route's other targets.
  double weight = 1;
};

}  // namespace bronzeroute
