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

/// Tells long work from short by route, body size and observed cost, and keeps the mean service
/// time per class and per route.
class work_classifier {
 public:
  static constexpr std::uint64_t kLongBodyBytes = 1 << 20;
  /// A route this many times more expensive than the other short routes counts as long.
  static constexpr double kLongCostFactor = 10;
  /// Observations of a route before its cost counts.
  static constexpr std::uint64_t kMinObservations = 8;
  /// Assumed before the first observation.
  static constexpr duration kAssumedShort = std::chrono::milliseconds(5);

  /// A route that is no longer known; accepted by Observe.
  static constexpr std::size_t kNoRoute = static_cast<std::size_t>(-1);

  /// Takes the routes of `spec`. Means of routes that stay the same are kept. Returns true if
  /// results of RouteOf given before no longer hold.
  bool Configure(const service_spec& spec);

  /// Row of the matching route, or the number of routes if none matches.
  std::size_t RouteOf(std::string_view method, std::string_view path) const;

  bool IsLong(const attempt_head& head, std::size_t route) const;

  /// Expected service time of work of the class on the route. `route_id` names a route by host.
  duration Expected(bool is_long, std::size_t route, std::uint64_t route_id = 0) const;
  duration MeanOf(bool is_long) const;
  /// Raises the service time assumed of short work before enough of it was observed.
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
  /// The last row stands for requests that match no route.
  std::vector<route_row> routes_{1};
  duration assumed_ = kAssumedShort;
  service_time_mean short_mean_;
  service_time_mean long_mean_;
  /// Means of routes by host.
  absl::flat_hash_map<std::uint64_t, service_time_mean> by_host_;
};

}  // namespace bronzeroute
