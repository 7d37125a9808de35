#include "src/node/route_directory_adapter.h"

#include <memory>

#include "src/configuration/configuration_system.h"
#include "src/configuration/find_route.h"

namespace bronzeroute {

route_decision route_directory_adapter::Find(std::string_view service, std::string_view method,
                                             std::string_view path) {
  route_decision decision;
  const std::shared_ptr<const document> current = configuration_.current();
  if (current == nullptr) {
    decision.error = error_kind::kNotReady;
    return decision;
  }
  const service_spec* spec = current->FindService(service);
  if (spec == nullptr) {
    decision.error = error_kind::kUnknownService;
    return decision;
  }
  const route_spec route = FindRoute(*spec, method, path);
  decision.is_protected = route.is_protected;
  decision.is_long = route.is_long;
  decision.is_marked_short =
      !route.is_long && MatchRoute(spec->routes, method, path) != nullptr;
  decision.time_limit = route.time_limit;
  decision.config_version = configuration_.version();
  return decision;
}

}  // namespace bronzeroute
