#include "src/report/json_renderer.h"

#include <cpprest/json.h>

#include <cmath>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "src/report/assess_service.h"
#include "src/report/burn_report.h"
#include "src/report/result_words.h"

namespace bronzeroute {
namespace {

using web::json::value;

value Text(std::string_view text) { return value::string(std::string(text)); }

// JSON has no infinity; an infinite rate is null.
value Number(double number) {
  return std::isfinite(number) ? value::number(number) : value::null();
}

value Seconds(duration time) { return value::number(static_cast<double>(time.count()) / 1e6); }

value Window(const burn_window::counts& results, double burn) {
  value row = value::object(true);
  row["requests"] = value::number(AllRequests(results));
  row["bad"] = value::number(BadRequests(results));
  for (const request_result each : kBadResults) {
    row[std::string(BadResultWord(each))] =
        value::number(results[static_cast<std::size_t>(each)]);
  }
  row["burn_rate"] = Number(burn);
  return row;
}

value Latency(const burn_report::worst_latency& worst) {
  value row = value::object(true);
  // There is no latency if no request was served in the last minutes.
  row["seconds"] = worst.process.empty() ? value::null() : value::number(worst.seconds);
  row["process"] = worst.process.empty() ? value::null() : Text(worst.process);
  return row;
}

value ClassRow(const burn_report::class_row& row) {
  value result = value::object(true);
  result["class"] = Text(RequestClassName(row.of));
  result["window_5m"] = Window(row.short_window, row.short_burn);
  result["window_1h"] = Window(row.long_window, row.long_burn);
  result["budget_left_1h"] = Number(row.BudgetLeft());
  result["worst_p50"] = Latency(row.p50);
  result["worst_p99"] = Latency(row.p99);
  return result;
}

value Service(const burn_report::service& service) {
  value result = value::object(true);
  result["service"] = Text(service.name);
  result["objective"] = value::number(service.objective);
  result["objectives_differ"] = value::boolean(service.objectives_differ);
  result["processes"] = value::number(static_cast<std::uint64_t>(service.processes));
  result["severity"] = Text(SeverityName(service.assessment.level));
  result["verdict"] = Text(service.assessment.sentence);
  std::vector<value> classes;
  for (const burn_report::class_row& row : service.classes) classes.push_back(ClassRow(row));
  result["classes"] = value::array(std::move(classes));
  std::vector<value> minutes;
  for (const burn_report::minute& each : service.minutes) {
    value row = value::object(true);
    row["unix_time"] = value::number(each.at * 60);
    row["good"] = value::number(each.good);
    row["bad"] = value::number(each.bad);
    minutes.push_back(std::move(row));
  }
  result["minutes"] = value::array(std::move(minutes));
  return result;
}

value Process(const burn_report::process& process) {
  value result = value::object(true);
  result["name"] = Text(process.source.name);
  result["service"] = Text(process.source.service);
  result["region"] = Text(process.source.region);
  result["availability_zone"] = Text(process.source.availability_zone);
  result["read"] = value::boolean(process.problem.empty());
  if (process.problem.empty()) {
    result["uptime_seconds"] = Seconds(process.uptime);
  } else {
    result["problem"] = Text(process.problem);
  }
  return result;
}

value Coverage(const burn_report& report) {
  value result = value::object(true);
  result["asked"] = value::number(static_cast<std::uint64_t>(report.processes.size()));
  result["read"] = value::number(static_cast<std::uint64_t>(report.readable()));
  result["unreadable"] = value::number(static_cast<std::uint64_t>(report.unreadable));
  result["shortest_uptime_seconds"] = Seconds(report.shortest_uptime);
  result["longest_uptime_seconds"] = Seconds(report.longest_uptime);
  result["covered_5m"] = value::number(report.short_coverage);
  result["covered_1h"] = value::number(report.long_coverage);
  result["read_spread_seconds"] = Seconds(report.spread);
  return result;
}

}  // namespace

std::string JsonReport(const burn_report& report) {
  value result = value::object(true);
  result["unix_time"] = Seconds(report.made_at);
  result["coverage"] = Coverage(report);
  std::vector<value> processes;
  for (const burn_report::process& each : report.processes) processes.push_back(Process(each));
  result["processes"] = value::array(std::move(processes));
  std::vector<value> absent;
  for (const member_list::absent_member& each : report.absent) {
    value row = value::object(true);
    row["name"] = Text(each.name);
    row["state"] = Text(each.state);
    absent.push_back(std::move(row));
  }
  result["not_asked"] = value::array(std::move(absent));
  std::vector<value> services;
  for (const burn_report::service& each : report.services) services.push_back(Service(each));
  result["services"] = value::array(std::move(services));
  result["page_burn_rate"] = value::number(kPageBurn);
  result["page_bad_requests"] = value::number(kPageBadRequests);
  result["watch_burn_rate"] = value::number(kWatchBurn);
  return result.serialize() + "\n";
}

}  // namespace bronzeroute
