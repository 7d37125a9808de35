#include "src/configuration/document.h"

#include <algorithm>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/base/concat.h"

namespace bronzeroute {

const service_spec* document::FindService(std::string_view service_name) const {
  const auto found = std::ranges::find(services, service_name, &service_spec::name);
  return found == services.end() ? nullptr : &*found;
}

void document::IndexRoutes() {
  for (host_route& route : host_routes) {
    const std::string name = Concat(route.host, route.prefix);
    route.id = std::max<std::uint64_t>(1, XXH64(name.data(), name.size(), 0));
  }
  index_ = route_index(host_routes);
}

const host_route* document::FindHostRoute(std::string_view host, std::string_view path) const {
  const auto position = index_.Find(host, path);
  return position ? &host_routes[*position] : nullptr;
}

}  // namespace bronzeroute
