#include "src/report/aggregate.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "src/base/concat.h"
#include "src/report/assess_service.h"

namespace bronzeroute {
namespace {

struct service_sum {
  double objective = 0;
  bool objectives_differ = false;
  std::size_t processes = 0;
  std::array<std::optional<burn_report::class_row>, kRequestClasses> classes;
  std::map<std::int64_t, burn_report::minute> minutes;
};

void AddCounts(burn_window::counts& to, const burn_window::counts& from) {
  for (std::size_t i = 0; i < to.size(); ++i) to[i] += from[i];
}

void TakeWorse(burn_report::worst_latency& worst, double seconds, const std::string& process) {
  if (seconds > worst.seconds) worst = {.seconds = seconds, .process = process};
}

void AddService(service_sum& sum, const process_metrics::service_row& row,
                const std::string& process) {
  sum.objectives_differ |= sum.processes > 0 && sum.objective != row.objective;
  sum.objective = std::max(sum.objective, row.objective);
  ++sum.processes;
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    if (!row.classes[i]) continue;
    const process_metrics::class_row& from = *row.classes[i];
    if (!sum.classes[i]) sum.classes[i].emplace().of = static_cast<request_class>(i);
    burn_report::class_row& to = *sum.classes[i];
    AddCounts(to.short_window, from.short_window);
    AddCounts(to.long_window, from.long_window);
    TakeWorse(to.p50, from.p50, process);
    TakeWorse(to.p99, from.p99, process);
    for (const auto& [at, counts] : from.minutes) {
      burn_report::minute& minute = sum.minutes[at];
      minute.at = at;
      minute.good += counts.good;
      minute.bad += counts.bad;
    }
  }
}

// `oldest` is the first minute of the long window.
burn_report::service Finish(const std::string& name, const service_sum& sum,
                            std::int64_t oldest) {
  burn_report::service result;
  result.name = name;
  result.objective = sum.objective;
  result.objectives_differ = sum.objectives_differ;
  result.processes = sum.processes;
  for (const auto& row : sum.classes) {
    if (!row) continue;
    burn_report::class_row& added = result.classes.emplace_back(*row);
    added.short_burn = BurnRate(added.short_window, sum.objective);
    added.long_burn = BurnRate(added.long_window, sum.objective);
  }
  for (const auto& [at, minute] : sum.minutes) {
    if (at >= oldest) result.minutes.push_back(minute);
  }
  return result;
}

double Coverage(const burn_report& report, duration window) {
  double covered = 0;
  for (const burn_report::process& each : report.processes) {
    if (!each.problem.empty()) continue;
    covered += static_cast<double>(std::min(each.uptime, window).count()) /
               static_cast<double>(window.count());
  }
  return report.processes.empty() ? 0 : covered / static_cast<double>(report.processes.size());
}

}  // namespace

burn_report MakeReport(std::span<const process_reading> readings,
                       std::vector<member_list::absent_member> absent) {
  burn_report report;
  report.absent = std::move(absent);
  std::map<std::string, service_sum, std::less<>> sums;
  std::optional<duration> first_read;
  for (const process_reading& reading : readings) {
    burn_report::process& process = report.processes.emplace_back();
    process.source = reading.source;
    if (!reading.metrics.ok()) {
      process.problem = Concat(reading.metrics.status().message());
      if (process.problem.empty()) process.problem = "unknown error";
      ++report.unreadable;
      continue;
    }
    const process_metrics& metrics = *reading.metrics;
    process.uptime = metrics.uptime;
    const bool first = !first_read;
    report.shortest_uptime =
        first ? metrics.uptime : std::min(report.shortest_uptime, metrics.uptime);
    report.longest_uptime = std::max(report.longest_uptime, metrics.uptime);
    report.made_at = std::max(report.made_at, metrics.read_at());
    first_read = first ? metrics.read_at() : std::min(*first_read, metrics.read_at());
    for (const auto& [name, row] : metrics.services) {
      AddService(sums[name], row, reading.source.name);
    }
  }
  if (first_read) report.spread = report.made_at - *first_read;
  report.short_coverage = Coverage(report, kShortWindow);
  report.long_coverage = Coverage(report, kLongWindow);
  const std::int64_t newest = std::chrono::floor<std::chrono::minutes>(report.made_at).count();
  const std::int64_t oldest =
      newest - std::chrono::duration_cast<std::chrono::minutes>(kLongWindow).count() + 1;
  for (const auto& [name, sum] : sums) {
    burn_report::service& added = report.services.emplace_back(Finish(name, sum, oldest));
    added.assessment = AssessService(added, report);
  }
  std::stable_sort(report.services.begin(), report.services.end(),
                   [](const burn_report::service& left, const burn_report::service& right) {
                     return left.assessment.level > right.assessment.level;
                   });
  return report;
}

}  // namespace bronzeroute
