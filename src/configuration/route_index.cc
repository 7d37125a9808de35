#include "src/configuration/route_index.h"

#include "absl/strings/ascii.h"
#include "absl/strings/string_view.h"
#include "src/base/concat.h"
#include "src/configuration/host_route.h"

namespace bronzeroute {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_bracketed = !host.empty() && host.back() == ']';
  if (colon != std::string_view::npos && !is_bracketed) host = host.substr(0, colon);
  std::string result(host);
  absl::AsciiStrToLower(&result);
  return result;
}

route_index::route_index(std::span<const host_route> routes) {
  positions_.reserve(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    positions_.emplace(Concat(routes[i].host, routes[i].prefix), i);
  }
}

std::optional<std::size_t> route_index::Find(std::string_view host,
                                             std::string_view path) const {
  path = path.substr(0, path.find_first_of("?#"));
  const std::string whole = Concat(NormalizeHost(host), path);
  const std::size_t host_size = whole.size() - path.size();
  for (std::size_t end = whole.rfind('/'); end != std::string::npos && end >= host_size;
       end = whole.rfind('/', end - 1)) {
    const auto found = positions_.find(absl::string_view(whole).substr(0, end + 1));
    if (found != positions_.end()) return found->second;
    if (end == 0) break;
  }
  return std::nullopt;
}

}  // namespace bronzeroute
