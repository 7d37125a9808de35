#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/configuration/region_limit.h"
#include "src/configuration/route_target.h"

namespace bronzeroute {

/// How requests to one host under one path prefix are treated.
struct host_route {
  /// Host name without a port, in lower case.
  std::string host;
  /// Path prefix that begins and ends with '/'. The longest matching prefix applies.
  std::string prefix;
  /// The services that share the requests, at least one; each request goes to one of them.
  std::vector<route_target> targets;
  /// True if a request must run at most once.
  bool is_protected = false;
  /// True for work that runs many times longer than the rest.
  bool is_long = false;
  /// Longest time from arrival to the complete response. Also caps a deadline that the caller
  /// names.
  duration time_limit{};
  /// Latency within which a response meets the objective.
  duration objective_latency{};
  /// Largest number of attempts that owners may admit for one request, the first one included.
  /// Refused attempts do not count.
  std::uint32_t max_attempts = 1;
  /// Hash of host and prefix, never 0. Filled in by `document::IndexRoutes`.
  std::uint64_t id = 0;
  /// Rank among the routes, 0 for the most important.
  std::uint32_t priority = 0;
  /// Regions in which the requests may run. A limit of the account binds as well.
  region_limit regions;
  /// Requests need no account, even if the document has accounts.
  bool needs_no_account = false;
};

}  // namespace bronzeroute
