#include "src/calls/silence_watch.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bronzeroute {
namespace {

// Multiples of the mean time to a response and of its deviation after which an attempt may be
// silent. A response later than both is rare, and an abandoned safe request runs again at the
// expense of the retry budget.
constexpr double kMeanFactor = 4;
constexpr double kDeviationFactor = 6;
// Shortest time after which an attempt may be silent. A daemon with 0.1 core can be paused for
// more than 100 ms.
constexpr auto kMinSilence = std::chrono::milliseconds(250);
// Later attempts that must have been answered in the meantime.
constexpr std::uint32_t kMinOvertaken = 8;
// Responses of a route that must have been observed.
constexpr std::uint64_t kMinObservations = 16;
// Weight of a new observation.
constexpr double kWeight = 1.0 / 16;
// Routes whose times are kept; a document has fewer.
constexpr std::size_t kMaxRoutes = 1024;

}  // namespace

void silence_watch::OnStarted(const attempt_id& id, std::uint64_t route, time_point now) {
  rows_[id] = {.route = route, .started = now};
}

void silence_watch::OnResponse(const attempt_id& id, time_point now) {
  const auto found = rows_.find(id);
  if (found == rows_.end()) return;
  const open_row answered = found->second;
  rows_.erase(found);
  if (routes_.size() >= kMaxRoutes && !routes_.contains(answered.route)) routes_.clear();
  route_row& route = routes_[answered.route];
  ++route.count;
  const double weight = std::max(kWeight, 1.0 / static_cast<double>(route.count));
  const double difference =
      static_cast<double>((now - answered.started).count()) - route.mean_us;
  route.mean_us += weight * difference;
  if (route.count > 1) {
    route.deviation_us += weight * (std::abs(difference) - route.deviation_us);
  }
  for (auto& [open_id, row] : rows_) {
    if (row.started < answered.started) ++row.overtaken;
  }
}

time_point silence_watch::SilentFrom(const open_row& row) const {
  const auto found = routes_.find(row.route);
  if (found == routes_.end() || found->second.count < kMinObservations) {
    return time_point::max();
  }
  const double silence_us =
      kMeanFactor * found->second.mean_us + kDeviationFactor * found->second.deviation_us;
  return row.started +
         std::max<duration>(kMinSilence, duration(static_cast<duration::rep>(silence_us)));
}

std::vector<attempt_id> silence_watch::FindSilent(time_point now) {
  std::vector<attempt_id> silent;
  for (auto& [id, row] : rows_) {
    const bool is_silent = row.overtaken >= kMinOvertaken && now >= SilentFrom(row);
    if (is_silent && row.is_suspect) silent.push_back(id);
    row.is_suspect = is_silent;
  }
  std::ranges::sort(silent);
  return silent;
}

duration silence_watch::Usual(std::uint64_t route) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || found->second.count < kMinObservations) return duration(0);
  return duration(static_cast<duration::rep>(found->second.mean_us));
}

}  // namespace bronzeroute
