#include "standins/platform/placement_oracle.h"

#include "absl/strings/str_format.h"

namespace bronzeroute::standin {
namespace {

// The rule: more than the factor times what a cold upstream bears, plus the slack, in a second.
constexpr double kColdFactor = 1.5;
constexpr double kColdSlack = 8;
constexpr std::chrono::seconds kColdWindow{1};

}  // namespace

void placement_oracle::OnEvacuated(const std::string& zone, clock::time_point now) {
  evacuated_.try_emplace(zone, now);
}

void placement_oracle::OnEvacuationEnded(const std::string& zone) { evacuated_.erase(zone); }

void placement_oracle::OnCold(const std::string& upstream, double per_second,
                              clock::time_point until) {
  cold_[upstream] = {.per_second = per_second, .until = until, .arrivals = {}};
}

void placement_oracle::OnArrival(const std::string& id, const region_limit& regions,
                                 const std::string& upstream, const std::string& zone,
                                 const std::string& region, clock::time_point now) {
  if (regions.is_limited()) ++limited_arrivals_;
  if (!regions.Allows(region)) {
    breaks_.push_back(
        {"HOME", absl::StrFormat("id %s reached %s in region %s, which is not one "
                                 "of its own",
                                 id, upstream, region)});
  }
  const auto evacuated = evacuated_.find(zone);
  if (evacuated != evacuated_.end() && evacuated->second + bounds_.evacuation < now) {
    const std::chrono::duration<double> after = now - evacuated->second;
    breaks_.push_back({"EVAC", absl::StrFormat("id %s reached %s in zone %s, %.3f s after its "
                                               "evacuation was confirmed",
                                               id, upstream, zone, after.count())});
  }
  CountCold(upstream, now);
}

void placement_oracle::CountCold(const std::string& upstream, clock::time_point now) {
  const auto found = cold_.find(upstream);
  if (found == cold_.end() || now >= found->second.until) return;
  cold_row& row = found->second;
  ++cold_arrivals_;
  row.arrivals.push_back(now);
  while (row.arrivals.front() + kColdWindow <= now) row.arrivals.pop_front();
  const double allowed = kColdFactor * row.per_second + kColdSlack;
  if (row.is_broken || static_cast<double>(row.arrivals.size()) <= allowed) return;
  row.is_broken = true;
  breaks_.push_back(
      {"FAILBACK", absl::StrFormat("%s is cold, bears %.1f/s and got %d requests "
                                   "in a second; allowed: %.0f",
                                   upstream, row.per_second, row.arrivals.size(), allowed)});
}

}  // namespace bronzeroute::standin
