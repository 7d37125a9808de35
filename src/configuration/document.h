#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/caller_limits.h"
#include "src/configuration/host_route.h"
#include "src/configuration/route_index.h"
#include "src/configuration/service_spec.h"

namespace bronzeroute {

/// What the operators of one environment publish.
struct document {
  std::string name;
  /// Budget of one daemon for measuring upstreams.
  std::uint32_t measuring_bytes_per_second = 0;
  std::uint32_t measuring_upstream_ms_per_second = 0;
  std::vector<service_spec> services;
  /// Routes by host and path. If there are none, the first segment of a path names its service.
  std::vector<host_route> host_routes;
  caller_limits limits;
  /// Version that the document itself names, or -1: it then gets one from its place in the log.
  std::int64_t version = -1;

  /// The service with `name`, or null.
  const service_spec* FindService(std::string_view service_name) const;
  /// The route of a request, or null. Only after `IndexRoutes`.
  const host_route* FindHostRoute(std::string_view host, std::string_view path) const;
  /// To be called once `host_routes` is complete.
  void IndexRoutes();

 private:
  route_index index_;
};

}  // namespace bronzeroute
