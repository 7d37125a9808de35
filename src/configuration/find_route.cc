#include "src/configuration/find_route.h"

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "src/base/concat.h"

namespace bronzeroute {
namespace {

std::string Normalize(std::string_view path) {
  std::string decoded;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (path[i] == '%' && i + 2 < path.size() && absl::ascii_isxdigit(path[i + 1]) &&
        absl::ascii_isxdigit(path[i + 2])) {
      decoded += absl::HexStringToBytes(std::string(path.substr(i + 1, 2)));
      i += 2;
    } else {
      decoded += path[i];
    }
  }
  std::vector<std::string> segments;
  for (std::string& segment : std::vector<std::string>(absl::StrSplit(decoded, '/'))) {
    if (segment.empty() || segment == ".") continue;
    if (segment != "..") {
      segments.push_back(std::move(segment));
    } else if (!segments.empty()) {
      segments.pop_back();
    }
  }
  return Concat("/", absl::StrJoin(segments, "/"));
}

bool Matches(std::string_view prefix, std::string_view path) {
  while (prefix.size() > 1 && prefix.ends_with('/')) prefix.remove_suffix(1);
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

}  // namespace

const route_spec* MatchRoute(std::span<const route_spec> routes, std::string_view method,
                             std::string_view path) {
  path = path.substr(0, path.find_first_of("?#"));
  std::string normal;
  if (path.find('%') != std::string_view::npos || path.find("//") != std::string_view::npos ||
      path.find("/.") != std::string_view::npos) {
    normal = Normalize(path);
    path = normal;
  }
  const route_spec* best = nullptr;
  for (const route_spec& route : routes) {
    const bool named = route.method == method;
    if ((!named && route.method != "*") || !Matches(route.prefix, path)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size() ||
        (route.prefix.size() == best->prefix.size() && named)) {
      best = &route;
    }
  }
  return best;
}

route_spec FindRoute(const service_spec& service, std::string_view method,
                     std::string_view path) {
  const route_spec* match = MatchRoute(service.routes, method, path);
  if (match != nullptr) return *match;
  route_spec fallback;
  fallback.prefix = Concat("/", service.name);
  fallback.is_protected = method != "GET" && method != "HEAD" && method != "OPTIONS";
  fallback.time_limit = service.time_limit;
  return fallback;
}

}  // namespace bronzeroute
