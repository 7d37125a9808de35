#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/admission/service_time_mean.h"
#include "src/base/time.h"
#include "src/configuration/service_spec.h"

namespace bronzeroute {

struct attempt_head;

/// Classifies work as long or short by route, body size and observed cost, and keeps the mean
/// service time per class and per route. Long work may hold only a share of the slots, so that
/// it does not block short work.
class work_classifier {
 public:
  /// Bodies above this size make work long.
  static constexpr std::uint64_t kLongBodyBytes = 1 << 20;
  /// A route whose mean service time exceeds this many times that of the other short routes
  /// counts as long.
  static constexpr double kLongCostFactor = 10;
  /// Minimum number of observations of a route before its mean is used.
  static constexpr std::uint64_t kMinObservations = 8;
  /// Service time of short work assumed before the first observation.
  static constexpr duration kAssumedShort = std::chrono::milliseconds(5);

  /// Stands for a route that was removed from the configuration; accepted by Observe.
  static constexpr std::size_t kNoRoute = static_cast<std::size_t>(-1);

  /// Sets the routes to those of `spec`. Means of unchanged routes are kept. Returns true if
  /// earlier results of RouteOf are no longer valid.
  bool Configure(const service_spec& spec);

  /// Index of the matching route, or the number of routes if none matches.
  std::size_t RouteOf(std::string_view method, std::string_view path) const;

  bool IsLong(const attempt_head& head, std::size_t route) const;

  /// Expected service time of work of the class on the route. `route_id` identifies a
  /// host-based route, 0 for none.
  duration Expected(bool is_long, std::size_t route, std::uint64_t route_id = 0) const;
  duration MeanOf(bool is_long) const;
  /// Raises the service time that is assumed for short work until enough of it was observed.
  void RaiseAssumed(duration assumed) { assumed_ = std::max(assumed_, assumed); }

  void Observe(bool is_long, std::size_t route, std::uint64_t route_id, duration service_time);

 private:
  struct route_row {
    std::string method;
    std::string prefix;
    bool marked_long = false;
    bool costly = false;
    service_time_mean mean{};
  };

  void UpdateCost(std::size_t route);

  /// The routes as configured; row i of `routes_` belongs to route i.
  std::vector<route_spec> specs_;
  /// The last row is for requests that match no route.
  std::vector<route_row> routes_{1};
  duration assumed_ = kAssumedShort;
  service_time_mean short_mean_;
  service_time_mean long_mean_;
  /// Means of host-based routes by their identifiers.
  absl::flat_hash_map<std::uint64_t, service_time_mean> by_host_;
};

}  // namespace bronzeroute
