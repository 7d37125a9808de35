#pragma once

#include <span>
#include <string_view>

#include "src/configuration/route_spec.h"
#include "src/configuration/service_spec.h"

namespace bronzeroute {

/// The route among `routes` for a request with `method` and `path` (a query is ignored), or
/// null: the one with the longest prefix that ends at a segment boundary; with equal prefixes,
/// a route for the method takes precedence over "*". Percent-encoding, empty segments and dot
/// segments are normalized before the comparison, so that every spelling of a protected path is
/// protected.
const route_spec* MatchRoute(std::span<const route_spec> routes, std::string_view method,
                             std::string_view path);

/// The matching route of `service`. Without a match, a route for short work with the service's
/// time limit: repeatable for GET, HEAD and OPTIONS, and protected (at most once) for every
/// other method.
route_spec FindRoute(const service_spec& service, std::string_view method,
                     std::string_view path);

}  // namespace bronzeroute
