#include "src/report/assess_service.h"

#include <gtest/gtest.h>

#include <vector>

#include "tests/report/report_fixture.h"

namespace bronzeroute {
namespace {

using std::chrono::minutes;
using severity = service_assessment::severity;
using enum request_result;

// Numbers of requests of one class: `before` 30 minutes ago, `now` at the time of the report.
struct load {
  int good_before = 0;
  int bad_before = 0;
  int good_now = 0;
  int bad_now = 0;
};

service_assessment AssessLoad(const load& requests, double objective = 0.99) {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("pedidos", objective);
  const auto record = [&metrics](request_result result, int count, time_point at) {
    RecordMany(metrics, "pedidos", request_class::kProtected, result, count, at);
  };
  const time_point now = kStart + minutes(90);
  record(kServedInTime, requests.good_before, now - minutes(30));
  record(kUnknown, requests.bad_before, now - minutes(30));
  record(kServedInTime, requests.good_now, now);
  record(kUnknown, requests.bad_now, now);
  const std::vector<process_reading> readings = {ReadingOf("p", metrics, now)};
  return MakeReport(readings, {}).services[0].assessment;
}

// Guards against a page for a short spike, for an incident that has ended or for a few
// requests, and against a missing page while both windows have a high burn rate.
TEST(AssessService, PagesOnlyWhenBothWindowsBurnFast) {
  EXPECT_EQ(AssessLoad({}).level, severity::kIdle);
  EXPECT_EQ(AssessLoad({.good_now = 1000}).level, severity::kOk);
  EXPECT_EQ(AssessLoad({.good_before = 995, .bad_before = 5}).level, severity::kOk);
  EXPECT_EQ(AssessLoad({.good_before = 980, .bad_before = 20}).level, severity::kWatch);
  EXPECT_EQ(AssessLoad({.good_before = 10'000, .good_now = 80, .bad_now = 20}).level,
            severity::kWatch);
  EXPECT_EQ(AssessLoad({.good_before = 100, .bad_before = 900, .good_now = 100}).level,
            severity::kWatch);
  EXPECT_EQ(AssessLoad({.good_now = 1, .bad_now = 4}).level, severity::kWatch);
  EXPECT_EQ(AssessLoad({.good_now = 1, .bad_now = 5}).level, severity::kPage);
  EXPECT_EQ(AssessLoad({.good_now = 8'550, .bad_now = 1'450}).level, severity::kPage);
  EXPECT_EQ(AssessLoad({.good_now = 8'570, .bad_now = 1'430}).level, severity::kWatch);
}

// Guards against a sentence without class, cause or rate, and against a division by the zero
// error budget of an objective of 100%.
TEST(AssessService, SentenceNamesClassCauseAndRate) {
  EXPECT_EQ(
      AssessLoad({.good_now = 800, .bad_now = 200}).sentence,
      "Page: protected requests burn error budget at 20.0x the allowed rate over 5 min and "
      "20.0x over 1 h, all unknown; a 30-day budget lasts 36 h.");
  EXPECT_EQ(AssessLoad({.good_now = 100, .bad_now = 5}, 1).sentence,
            "Page: protected requests miss an objective of 100%, 5 in 5 min and 5 in 1 h, all "
            "unknown.");
  EXPECT_EQ(
      AssessLoad({.good_now = 1, .bad_now = 1}).sentence,
      "Watch: protected requests missed the objective 1 time in 1 h, all unknown, too few "
      "to page.");
}

// Guards against a bad class that is hidden by a good one with more requests.
TEST(AssessService, WorstClassDeterminesTheLevel) {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("pedidos", 0.99);
  RecordMany(metrics, "pedidos", request_class::kShort, kServedInTime, 10'000, kStart);
  RecordMany(metrics, "pedidos", request_class::kProtected, kFailed, 10, kStart);
  RecordMany(metrics, "pedidos", request_class::kLong, kServedInTime, 10'000, kStart);
  const std::vector<process_reading> readings = {ReadingOf("p", metrics, kStart)};
  const service_assessment found = MakeReport(readings, {}).services[0].assessment;
  EXPECT_EQ(found.level, severity::kPage);
  EXPECT_NE(found.sentence.find("protected"), std::string::npos);
}

}  // namespace
}  // namespace bronzeroute
