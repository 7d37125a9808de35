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

  /// Position of the route of `host` with the longest prefix of `path`, or nullopt. The port
  /// and the letter case of `host`, and the query and fragment of `path`, are ignored.
  std::optional<std::size_t> Find(std::string_view host, std::string_view path) const;

 private:
  /// Keyed by host and prefix concatenated. This is unambiguous because a host contains no '/'
  /// and each prefix begins with one.
  absl::flat_hash_map<std::string, std::size_t> positions_;
};

/// `host` in the form that routes use: without a port, in lower case.
std::string NormalizeHost(std::string_view host);

}  // namespace bronzeroute
