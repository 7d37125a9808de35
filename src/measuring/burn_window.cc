#include "src/measuring/burn_window.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace bronzeroute {

void burn_window::Add(request_result result, time_point now) {
  const std::int64_t step = StepAt(now);
  const auto count = static_cast<std::int64_t>(slots_.size());
  slot& current = slots_[static_cast<std::size_t>(step % count)];
  if (current.expires != step + count) current = slot{.expires = step + count};
  ++current.results[static_cast<std::size_t>(result)];
}

burn_window::counts burn_window::Counts(time_point now) const {
  const std::int64_t step = StepAt(now);
  counts sum{};
  for (const slot& each : slots_) {
    if (each.expires <= step) continue;
    for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += each.results[i];
  }
  return sum;
}

std::vector<burn_window::slot_counts> burn_window::Slots(time_point now) const {
  const std::int64_t step = StepAt(now);
  const auto count = static_cast<std::int64_t>(slots_.size());
  std::vector<slot_counts> rows;
  for (const slot& each : slots_) {
    if (each.expires <= step) continue;
    rows.push_back({.steps_ago = static_cast<std::uint64_t>(step + count - each.expires),
                    .results = each.results});
  }
  std::sort(rows.begin(), rows.end(), [](const slot_counts& left, const slot_counts& right) {
    return left.steps_ago > right.steps_ago;
  });
  return rows;
}

double burn_window::Rate(double objective, time_point now) const {
  return BurnRate(Counts(now), objective);
}

double BurnRate(const burn_window::counts& results, double objective) {
  const std::uint64_t bad = BadRequests(results);
  if (bad == 0) return 0;
  const double share = static_cast<double>(bad) / static_cast<double>(AllRequests(results));
  if (objective >= 1) return std::numeric_limits<double>::infinity();
  return share / (1 - objective);
}

std::uint64_t BadRequests(const burn_window::counts& results) {
  return AllRequests(results) -
         results[static_cast<std::size_t>(request_result::kServedInTime)];
}

std::uint64_t AllRequests(const burn_window::counts& results) {
  return std::accumulate(results.begin(), results.end(), std::uint64_t{0});
}

}  // namespace bronzeroute
