#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/configuration/route_spec.h"

namespace bronzeroute {

/// One service of a document, with the limits for its upstreams.
struct service_spec {
  std::string name;
  /// Time limit of requests whose route has none of its own.
  duration time_limit{};
  /// Largest number of requests at a time and of connections per upstream. An upstream may
  /// announce lower limits.
  std::uint32_t max_slots = 0;
  std::uint32_t max_connections = 0;
  /// Share of an upstream's slots that is used, 0 to 1. Below 1 for upstreams that slow down
  /// when they are nearly full.
  double slot_share = 1;
  /// Largest number of short requests, and also of long requests, that wait at one owner (the
  /// daemon beside the upstream).
  std::uint32_t queue_limit = 0;
  /// Share of the slots that long work may hold, 0 to 1.
  double long_share = 0;
  /// Time over which the slots of a newly started upstream grow from one to all.
  duration warmup{};
  /// Requests per second that one upstream takes while it is cold, over all daemons together;
  /// 0 if cold upstreams have no such limit.
  double cold_rate_per_s = 0;
  /// Time for which an upstream is cold after its start.
  duration cold_time{};
  /// Regions in which the service may run; empty means all.
  std::vector<std::string> regions;
  /// Share of requests that must be served within `objective_latency`.
  double objective = 0;
  duration objective_latency{};
  std::vector<route_spec> routes;
};

}  // namespace bronzeroute
