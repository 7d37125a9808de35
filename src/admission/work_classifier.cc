#include "src/admission/work_classifier.h"

#include <algorithm>
#include <utility>

#include "src/calls/attempt_head.h"
#include "src/configuration/find_route.h"

namespace bronzeroute {
namespace {

// Maximum number of host-based routes whose means are kept.
constexpr std::size_t kMaxHostRoutes = 4096;

}  // namespace

bool work_classifier::Configure(const service_spec& spec) {
  std::vector<route_row> rows;
  rows.reserve(spec.routes.size() + 1);
  for (const route_spec& route : spec.routes) {
    route_row row{.method = route.method, .prefix = route.prefix, .marked_long = route.is_long};
    const auto old = std::ranges::find_if(routes_, [&](const route_row& other) {
      return !other.prefix.empty() && other.method == route.method &&
             other.prefix == route.prefix;
    });
    if (old != routes_.end()) {
      row.costly = old->costly;
      row.mean = old->mean;
    }
    rows.push_back(std::move(row));
  }
  rows.push_back(routes_.back());
  const auto same_route = [](const route_row& a, const route_row& b) {
    return a.method == b.method && a.prefix == b.prefix && a.marked_long == b.marked_long;
  };
  const bool changed = !std::ranges::equal(rows, routes_, same_route);
  routes_ = std::move(rows);
  specs_ = spec.routes;
  return changed;
}

std::size_t work_classifier::RouteOf(std::string_view method, std::string_view path) const {
  const route_spec* match = MatchRoute(specs_, method, path);
  return match == nullptr ? specs_.size() : static_cast<std::size_t>(match - specs_.data());
}

bool work_classifier::IsLong(const attempt_head& head, std::size_t route) const {
  // For a host-based route the entry's class is used: the rows here are the routes of the
  // service.
  if (head.route_id != 0) return head.is_long;
  const bool unmarked = route + 1 == routes_.size();
  if (head.is_long || routes_[route].marked_long || routes_[route].costly) return true;
  return head.content_length ? *head.content_length > kLongBodyBytes : unmarked;
}

duration work_classifier::Expected(bool is_long, std::size_t route,
                                   std::uint64_t route_id) const {
  const auto by_host = by_host_.find(route_id);
  if (by_host != by_host_.end() && by_host->second.count() >= kMinObservations) {
    return by_host->second.Mean();
  }
  const service_time_mean& mean = routes_[route].mean;
  return mean.count() >= kMinObservations ? mean.Mean() : MeanOf(is_long);
}

duration work_classifier::MeanOf(bool is_long) const {
  const bool is_known = assumed_ == kAssumedShort ? short_mean_.count() > 0
                                                  : short_mean_.count() >= kMinObservations;
  const duration short_mean = is_known ? short_mean_.Mean() : assumed_;
  if (!is_long) return short_mean;
  if (long_mean_.count() > 0) return long_mean_.Mean();
  return duration(static_cast<duration::rep>(kLongCostFactor) * short_mean.count());
}

void work_classifier::Observe(bool is_long, std::size_t route, std::uint64_t route_id,
                              duration service_time) {
  if (route_id != 0) {
    // The set of routes changes with the configuration. After clearing, the means of the few
    // routes in use are soon observed again.
    if (by_host_.size() >= kMaxHostRoutes) by_host_.clear();
    by_host_[route_id].Add(service_time);
  }
  (is_long ? long_mean_ : short_mean_).Add(service_time);
  if (route >= routes_.size()) return;
  // A request that is long only because of its body is no measure of the cost of the route.
  route_row& row = routes_[route];
  if (is_long && !row.marked_long && !row.costly) return;
  row.mean.Add(service_time);
  UpdateCost(route);
}

void work_classifier::UpdateCost(std::size_t route) {
  route_row& row = routes_[route];
  if (row.marked_long || row.mean.count() < kMinObservations) return;
  // The route itself is left out, since it would raise the mean with which it is compared.
  double weight = 0;
  double sum = 0;
  for (const route_row& other : routes_) {
    if (&other == &row || other.marked_long || other.costly) continue;
    if (other.mean.count() < kMinObservations) continue;
    const auto count = static_cast<double>(other.mean.count());
    weight += count;
    sum += count * other.mean.mean_us();
  }
  row.costly = weight > 0 && row.mean.mean_us() > kLongCostFactor * sum / weight;
}

}  // namespace bronzeroute
