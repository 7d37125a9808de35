#include "src/report/aggregate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "src/report/html_renderer.h"
#include "src/report/json_renderer.h"
#include "src/report/text_renderer.h"
#include "tests/report/report_fixture.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using enum request_result;

constexpr request_class kShort = request_class::kShort;

// Guards against burn rates that are averaged over processes instead of computed from summed
// counts, and against minutes of different processes that are not aligned.
TEST(MakeReport, SumsProcesses) {
  service_metrics busy = StartedMetrics();
  busy.SetObjective("estoque", 0.99);
  RecordMany(busy, "estoque", kShort, kServedInTime, 890, kStart + minutes(70));
  RecordMany(busy, "estoque", kShort, kRefused, 10, kStart + minutes(70));
  // Started 30 s later, so its first half minute belongs to the same minute of Unix time.
  service_metrics calm = StartedMetrics(minutes(70) + seconds(30));
  calm.SetObjective("estoque", 0.99);
  RecordMany(calm, "estoque", kShort, kServedInTime, 60, kStart + seconds(29));
  RecordMany(calm, "estoque", kShort, kUnknown, 40, kStart + seconds(30));
  const std::vector<process_reading> readings = {ReadingOf("busy", busy, kStart + minutes(72)),
                                                 ReadingOf("calm", calm, kStart + seconds(90))};
  const burn_report report = MakeReport(readings, {});
  ASSERT_EQ(report.services.size(), 1U);
  const burn_report::service& service = report.services[0];
  ASSERT_EQ(service.classes.size(), 1U);
  EXPECT_EQ(service.processes, 2U);
  EXPECT_EQ(service.classes[0].long_window, (burn_window::counts{950, 0, 10, 40, 0}));
  EXPECT_NEAR(service.classes[0].long_burn, 5, 1e-9);
  EXPECT_NEAR(service.classes[0].BudgetLeft(), -4, 1e-9);
  ASSERT_EQ(service.minutes.size(), 2U);
  EXPECT_EQ(service.minutes[0].good, 950U);
  EXPECT_EQ(service.minutes[0].bad, 10U);
  EXPECT_EQ(service.minutes[1].at, service.minutes[0].at + 1);
  EXPECT_EQ(service.minutes[1].bad, 40U);
}

// Guards against a latency that is summed or taken from an arbitrary process.
TEST(MakeReport, ReportsLatenciesOfTheWorstProcess) {
  std::vector<process_reading> readings;
  for (const int i : {1, 3, 2}) {
    service_metrics metrics = StartedMetrics();
    metrics.SetObjective("estoque", 0.99);
    metrics.Record("estoque", kShort, kServedInTime, milliseconds(i), kStart);
    readings.push_back(ReadingOf("p" + std::to_string(i), metrics, kStart));
  }
  const burn_report report = MakeReport(readings, {});
  EXPECT_EQ(report.services[0].classes[0].p99.process, "p3");
  EXPECT_NEAR(report.services[0].classes[0].p99.seconds, 0.003, 1e-9);
}

// Guards against omitting a process that could not be read or a dead member: each output must
// name it, and the assessments must state that they are incomplete.
TEST(MakeReport, NamesProcessesThatCouldNotBeRead) {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("estoque", 0.99);
  RecordMany(metrics, "estoque", kShort, kServedInTime, 10, kStart + minutes(90));
  const std::vector<process_reading> readings = {
      ReadingOf("127.0.0.1:7001", metrics, kStart + minutes(90)),
      ReadingNamed("127.0.0.1:7002", absl::UnavailableError("no response")),
      ReadingNamed("127.0.0.1:7003", absl::StatusOr<process_metrics>(absl::UnknownError("")))};
  const burn_report report =
      MakeReport(readings, {{.name = "127.0.0.1:7004", .state = "dead"}});
  EXPECT_EQ(report.processes.size(), 3U);
  EXPECT_EQ(report.readable(), 1U);
  EXPECT_NEAR(report.long_coverage, 1.0 / 3, 1e-9);
  EXPECT_NE(report.services[0].assessment.sentence.find("1 of 3 processes read"),
            std::string::npos);
  for (const std::string& text : {TextReport(report), JsonReport(report), HtmlReport(report)}) {
    for (const char* name : {"127.0.0.1:7002", "127.0.0.1:7003", "127.0.0.1:7004"}) {
      EXPECT_NE(text.find(name), std::string::npos) << name << "\n" << text;
    }
  }
}

// Guards against ignoring the counts that restarts lost: the covered share must be reported for
// each window.
TEST(MakeReport, ReportsTheShareOfTimeCovered) {
  const std::vector<process_reading> readings = {
      ReadingOf("old", StartedMetrics(), kStart + minutes(90)),
      ReadingOf("new", StartedMetrics(minutes(87)), kStart + minutes(3))};
  const burn_report report = MakeReport(readings, {});
  EXPECT_EQ(report.shortest_uptime, minutes(3));
  EXPECT_EQ(report.longest_uptime, minutes(90));
  EXPECT_NEAR(report.short_coverage, 0.8, 1e-9);
  EXPECT_NEAR(report.long_coverage, (1 + 3.0 / 60) / 2, 1e-9);
  EXPECT_EQ(report.spread, duration(0));
}

// Guards against a lower objective that hides a high burn rate while processes still have
// different configurations.
TEST(MakeReport, UsesTheHighestObjective) {
  std::vector<process_reading> readings;
  for (const double objective : {0.9, 0.99, 0.95}) {
    service_metrics metrics = StartedMetrics();
    metrics.SetObjective("estoque", objective);
    readings.push_back(ReadingOf("p", metrics, kStart));
  }
  const burn_report report = MakeReport(readings, {});
  EXPECT_EQ(report.services[0].objective, 0.99);
  EXPECT_TRUE(report.services[0].objectives_differ);
}

}  // namespace
}  // namespace bronzeroute
