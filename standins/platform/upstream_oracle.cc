#include "standins/platform/upstream_oracle.h"

#include "absl/strings/str_format.h"
#include "src/base/concat.h"

namespace bronzeroute::standin {
namespace {

// The rule: in some window, more than the factor times what the limit allows, plus the slack.
constexpr std::chrono::seconds kWindow{4};
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
// A machine counts from this time after it passed on a response that names the limit.
constexpr std::chrono::milliseconds kKnownAfter{500};

}  // namespace

void upstream_oracle::OnLimit(const std::string& upstream, double per_second,
                              clock::time_point now) {
  upstream_row& row = upstreams_[upstream];
  row.per_second = per_second;
  row.named = now;
  row.limit_passed_on.clear();
  row.arrivals.clear();
  row.is_broken = false;
}

void upstream_oracle::OnLimitPassedOn(const std::string& upstream, const std::string& machine,
                                      clock::time_point now) {
  upstreams_[upstream].limit_passed_on.try_emplace(machine, now);
}

void upstream_oracle::OnLeavingPassedOn(const std::string& upstream, const std::string& machine,
                                        clock::time_point now) {
  upstreams_[upstream].leaving_passed_on.try_emplace(machine, now);
}

void upstream_oracle::OnDepartureAcknowledged(const std::string& upstream,
                                              clock::time_point judged_from) {
  upstreams_[upstream].departed = judged_from;
}

void upstream_oracle::OnRestart(const std::string& machine, clock::time_point /*now*/) {
  for (auto& [name, row] : upstreams_) {
    row.limit_passed_on.erase(machine);
    row.leaving_passed_on.erase(machine);
  }
}

void upstream_oracle::OnArrival(const std::string& upstream, const std::string& machine,
                                const std::string& request, clock::time_point sent,
                                clock::time_point now) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return;
  upstream_row& row = found->second;
  const auto leaving = row.leaving_passed_on.find(machine);
  if (leaving != row.leaving_passed_on.end() && sent > leaving->second + bounds_.drain) {
    const std::chrono::duration<double> after = sent - leaving->second;
    breaks_.push_back({"DRAIN", absl::StrFormat("id %s reached %s, sent at %s %.3f s after it "
                                                "had passed on that this upstream leaves",
                                                request, upstream, machine, after.count())});
  }
  if (row.departed && sent > *row.departed) {
    const std::chrono::duration<double> after = sent - *row.departed;
    breaks_.push_back({"DRAIN", absl::StrFormat("id %s reached %s, sent at %s %.3f s after its "
                                                "departure had to be in effect",
                                                request, upstream, machine, after.count())});
  }
  const auto limit = row.limit_passed_on.find(machine);
  if (row.per_second >= 0 && limit != row.limit_passed_on.end() &&
      limit->second + kKnownAfter <= now && row.named + bounds_.stability <= now) {
    Count(upstream, row, now);
  }
}

void upstream_oracle::Count(const std::string& upstream, upstream_row& row,
                            clock::time_point now) {
  ++limited_arrivals_;
  row.arrivals.push_back(now);
  while (row.arrivals.front() + kWindow <= now) row.arrivals.pop_front();
  const double allowed = kFactor * row.per_second * kWindow.count() + kSlack;
  if (row.is_broken || static_cast<double>(row.arrivals.size()) <= allowed) return;
  row.is_broken = true;
  breaks_.push_back(
      {"LIMIT", absl::StrFormat("%s had named a limit of %.1f/s and got %d requests in %d s "
                                "from machines that knew it; allowed: %.0f",
                                upstream, row.per_second, row.arrivals.size(), kWindow.count(),
                                allowed)});
}

void PassOn(const header_list& response, const std::string& machine, upstream_oracle& oracle) {
  const std::string* const upstream = FindField(response, "Instance-Id");
  if (upstream == nullptr) return;
  const auto now = upstream_oracle::clock::now();
  if (FindField(response, "Server-Limit") != nullptr) {
    oracle.OnLimitPassedOn(*upstream, machine, now);
  }
  if (FindField(response, "Server-Leaving") != nullptr) {
    oracle.OnLeavingPassedOn(*upstream, machine, now);
  }
}

}  // namespace bronzeroute::standin
