#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

namespace bronzeroute {

struct host_route;

/// Finds the route of a host and path. The time for a search depends on the depth of the path,
/// not on the number of routes.
class route_index {
 public:
  route_index() = default;
  explicit route_index(std::span<const host_route> routes);

  /// Position of the route of `host` with the longest prefix that begins `path`. A port and the
  /// case of `host` do not count, nor does what follows '?' in `path`.
  std::optional<std::size_t> Find(std::string_view host, std::string_view path) const;

 private:
  /// Host and prefix together: a host holds no '/', and each prefix begins with one.
  absl::flat_hash_map<std::string, std::size_t> positions_;
};

/// `host` as routes spell it: without a port, in lower case.
std::string NormalHost(std::string_view host);

}  // namespace bronzeroute
