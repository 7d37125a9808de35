#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/configuration/route_target.h"

namespace bronzeroute {

/// How requests to one host under one path prefix are treated.
struct host_route {
  /// Host name without a port, in lower case.
  std::string host;
  /// Path prefix that begins and ends with '/'. The longest one that begins the path applies.
  std::string prefix;
  /// At least one; each request goes to one of them.
  std::vector<route_target> targets;
  /// True if a request must run at most once.
  bool is_protected = false;
  /// True for work that runs many times longer than the rest.
  bool is_long = false;
  /// Longest time for which a request is kept waiting.
  duration time_limit{};
  /// Time within which an answer is worth its full value.
  duration objective_latency{};
  /// Largest number of upstreams to which one request is sent.
  std::uint32_t max_attempts = 1;
  /// Hash of host and prefix, never 0. Filled in by `document::IndexRoutes`.
  std::uint64_t id = 0;
  /// Rank among the routes, 0 for the most important.
  std::uint32_t priority = 0;
};

}  // namespace bronzeroute
