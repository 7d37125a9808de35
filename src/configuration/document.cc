#include "src/configuration/document.h"

#include <algorithm>

namespace bronzeroute {

const service_spec* document::FindService(std::string_view service_name) const {
  const auto found = std::ranges::find(services, service_name, &service_spec::name);
  return found == services.end() ? nullptr : &*found;
}

const host_route* document::FindHostRoute(std::string_view host, std::string_view path) const {
  const auto position = index_.Find(host, path);
  return position ? &host_routes[*position] : nullptr;
}

}  // namespace bronzeroute
