#pragma once

#include <span>
#include <string_view>

#include "src/configuration/route_spec.h"
#include "src/configuration/service_spec.h"

namespace bronzeroute {

/// The route among `routes` for a request with `method` and `path` (a query is ignored), or
/// null: the longest prefix that ends at a segment boundary; a named method goes before "*".
/// Percent-encoded, empty and dot segments are resolved before the comparison, so that another
/// spelling of a protected path is protected too.
const route_spec* MatchRoute(std::span<const route_spec> routes, std::string_view method,
                             std::string_view path);

/// The matching route of `service`. Without a match it is a short route with the service's
/// deadline, repeatable for GET, HEAD and OPTIONS and protected for every other method.
route_spec FindRoute(const service_spec& service, std::string_view method,
                     std::string_view path);

}  // namespace bronzeroute
