#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/configuration/route_spec.h"

namespace bronzeroute {

/// One service of a document with the limits that its upstreams keep.
struct service_spec {
  std::string name;
  /// Time allowed where the route names none.
  duration time_limit{};
  /// Upper limits per upstream; an announcement may stay below them.
  std::uint32_t max_slots = 0;
  std::uint32_t max_connections = 0;
  /// Share of the slots that is filled: some upstreams slow down when they are nearly full.
  double slot_share = 1;
  /// Requests waiting at one owner, short and long each.
  std::uint32_t queue_limit = 0;
  /// Share of the slots that long work may hold, 0 to 1.
  double long_share = 0;
  /// Time over which a cold upstream goes from one slot to all.
  duration warmup{};
  /// Regions in which the service may run; empty means all.
  std::vector<std::string> regions;
  /// Share of requests that must be served within `objective_latency`.
  double objective = 0;
  duration objective_latency{};
  std::vector<route_spec> routes;
};

}  // namespace bronzeroute
