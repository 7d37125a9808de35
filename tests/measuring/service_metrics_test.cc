#include "src/measuring/service_metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <string_view>

#include "src/accounts/usage_counters.h"
#include "src/measuring/budget_account.h"
#include "src/measuring/exposition.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using enum request_result;

constexpr time_point kStart{seconds(1000)};
constexpr request_class kShort = request_class::kShort;

// Guards against requests counted under the wrong class or result.
TEST(ServiceMetrics, CountsPerServiceClassAndResult) {
  service_metrics metrics;
  metrics.SetObjective("pedidos", 0.99);
  metrics.Record("pedidos", request_class::kProtected, kUnknown, milliseconds(9), kStart);
  EXPECT_EQ(metrics.Count("pedidos", request_class::kProtected, kUnknown), 1U);
  EXPECT_EQ(metrics.Count("pedidos", request_class::kProtected, kFailed), 0U);
  EXPECT_EQ(metrics.Count("pedidos", kShort, kUnknown), 0U);
}

// Guards against memory use that grows with service names from requests.
TEST(ServiceMetrics, UnknownServicesTakeNoMemory) {
  service_metrics metrics;
  metrics.Record("nonesuch", kShort, kServedInTime, milliseconds(1), kStart);
  EXPECT_TRUE(metrics.services().empty());
}

// Guards against a request counted as late although its latency equals the limit.
TEST(ServiceMetrics, ServedAtTheLimitIsInTime) {
  EXPECT_EQ(ServedResult(milliseconds(5), milliseconds(5)), kServedInTime);
  EXPECT_EQ(ServedResult(milliseconds(5) + duration(1), milliseconds(5)), kServedLate);
}

// Guards against a burn rate that ignores the objective or counts refusals as good.
TEST(ServiceMetrics, BurnRateIsShareOfTheAllowance) {
  service_metrics metrics;
  metrics.SetObjective("estoque", 0.99);
  for (int i = 0; i < 96; ++i) {
    metrics.Record("estoque", kShort, kServedInTime, milliseconds(2), kStart);
  }
  for (const request_result bad : {kServedLate, kRefused, kUnknown, kFailed}) {
    metrics.Record("estoque", kShort, bad, milliseconds(2), kStart);
  }
  EXPECT_NEAR(metrics.ShortBurnRate("estoque", kShort, kStart), 4, 1e-9);
  EXPECT_NEAR(metrics.LongBurnRate("estoque", kShort, kStart), 4, 1e-9);
}

// Guards against windows that keep failures too long or drop them too early.
TEST(ServiceMetrics, WindowsDropExpiredRequests) {
  service_metrics metrics;
  metrics.SetObjective("estoque", 0.9);
  metrics.Record("estoque", kShort, kFailed, milliseconds(2), kStart);
  const auto is_burning_at = [&metrics](duration later) {
    return std::pair(metrics.ShortBurnRate("estoque", kShort, kStart + later) > 0,
                     metrics.LongBurnRate("estoque", kShort, kStart + later) > 0);
  };
  EXPECT_EQ(is_burning_at(minutes(4)), std::pair(true, true));
  EXPECT_EQ(is_burning_at(minutes(6)), std::pair(false, true));
  EXPECT_EQ(is_burning_at(minutes(58)), std::pair(false, true));
  EXPECT_EQ(is_burning_at(minutes(61)), std::pair(false, false));
}

// Guards against a division by zero for an objective of 1.
TEST(ServiceMetrics, FullObjectiveBurnsInfinitely) {
  service_metrics metrics;
  metrics.SetObjective("scoring", 1);
  metrics.Record("scoring", kShort, kServedInTime, milliseconds(2), kStart);
  EXPECT_EQ(metrics.ShortBurnRate("scoring", kShort, kStart), 0);
  metrics.Record("scoring", kShort, kFailed, milliseconds(2), kStart);
  EXPECT_TRUE(std::isinf(metrics.ShortBurnRate("scoring", kShort, kStart)));
}

// Guards against quantiles taken from the estimator before it has enough samples.
TEST(LatencySummary, FewSamplesAreExact) {
  latency_summary summary;
  EXPECT_EQ(summary.Quantile(0, kStart), duration(0));
  for (int i = 1; i <= 5; ++i) summary.Add(milliseconds(i), kStart);
  EXPECT_EQ(summary.Quantile(0, kStart), milliseconds(3));
  EXPECT_EQ(summary.Quantile(2, kStart), milliseconds(5));
}

// Guards against estimates that deviate by more than 1 % of the range.
TEST(LatencySummary, ManySamplesAreClose) {
  latency_summary summary;
  for (int i = 0; i < 100'000; ++i) {
    summary.Add(duration((i * 7919LL) % 100'000), kStart + milliseconds(i));
  }
  const time_point end = kStart + milliseconds(100'000);
  EXPECT_NEAR(static_cast<double>(summary.Quantile(0, end).count()), 50'000, 1'000);
  EXPECT_NEAR(static_cast<double>(summary.Quantile(2, end).count()), 99'000, 1'000);
  EXPECT_EQ(summary.Highest(end), duration(99'999));
}

// Guards against samples that stay in the summary after their window.
TEST(LatencySummary, DropsSamplesAfterTenMinutes) {
  latency_summary summary;
  summary.Add(seconds(9), kStart);
  EXPECT_EQ(summary.Highest(kStart + minutes(4)), seconds(9));
  for (int minute = 0; minute < 11; ++minute) {
    summary.Add(milliseconds(1), kStart + minutes(minute));
  }
  EXPECT_EQ(summary.Highest(kStart + minutes(11)), milliseconds(1));
  EXPECT_EQ(summary.Highest(kStart + minutes(30)), duration(0));
  EXPECT_EQ(summary.count(), 12U);
}

// Guards against results counted under another result or beyond the window.
TEST(BurnWindow, CountsByResult) {
  burn_window window(minutes(1), 60);
  window.Add(kRefused, kStart);
  window.Add(kRefused, kStart);
  window.Add(kUnknown, kStart + minutes(1));
  EXPECT_EQ(window.Counts(kStart + minutes(1)), (burn_window::counts{0, 0, 2, 1, 0}));
  EXPECT_EQ(window.Counts(kStart + minutes(60)), (burn_window::counts{0, 0, 0, 1, 0}));
  EXPECT_EQ(window.Counts(kStart + minutes(62)), burn_window::counts{});
}

// Guards against steps that are not aligned to Unix time, so that those of two processes would
// overlap only in part, and against reported steps without requests.
TEST(BurnWindow, StepsFollowUnixTime) {
  // time_point{} is 50 s past a whole minute, so the next minute begins 10 s later.
  burn_window window(minutes(1), 60, minutes(1000) + seconds(50));
  window.Add(kServedInTime, time_point(seconds(9)));
  window.Add(kFailed, time_point(seconds(10)));
  const auto slots = window.Slots(time_point(seconds(130)));
  ASSERT_EQ(slots.size(), 2U);
  EXPECT_EQ(slots[0].steps_ago, 3U);
  EXPECT_EQ(slots[0].results, (burn_window::counts{1, 0, 0, 0, 0}));
  EXPECT_EQ(slots[1].steps_ago, 2U);
  EXPECT_EQ(slots[1].results, (burn_window::counts{0, 0, 0, 0, 1}));
}

// Guards against missing counts that sums over processes need.
TEST(Exposition, HasTheCountsForSumsOverProcesses) {
  service_metrics metrics({.started = kStart, .unix_time = seconds(1'700'000'000)});
  metrics.SetObjective("estoque", 0.999);
  metrics.Record("estoque", kShort, kRefused, milliseconds(2), kStart);
  metrics.SetPipelined(3);
  const std::string text =
      ExpositionText(metrics, budget_account(0, duration(0)), kStart + minutes(10));
  const auto has = [&text](std::string_view line) {
    return text.find("\n" + std::string(line) + "\n") != std::string::npos;
  };
  const std::string labels = R"({service="estoque",class="short",)";
  EXPECT_TRUE(has("bronzeroute_objective{service=\"estoque\"} 0.999"));
  EXPECT_TRUE(
      has("bronzeroute_window_requests" + labels + R"(window="5m",result="refused"} 0)"));
  EXPECT_TRUE(
      has("bronzeroute_window_requests" + labels + R"(window="1h",result="refused"} 1)"));
  EXPECT_TRUE(
      has("bronzeroute_minute_requests" + labels + R"(minutes_ago="10",outcome="bad"} 1)"));
  EXPECT_TRUE(has("bronzeroute_process_start_time_seconds 1.7e+09"));
  EXPECT_TRUE(has("bronzeroute_uptime_seconds 600"));
  EXPECT_TRUE(has("bronzeroute_pipelined_requests_total 3"));
  EXPECT_TRUE(text.ends_with("\n# EOF\n"));
}

// Guards against text that scrapers reject, such as an unescaped label value.
TEST(Exposition, FollowsTheTextFormat) {
  service_metrics metrics;
  metrics.SetObjective("a\"b\\c\n", 1);
  metrics.Record("a\"b\\c\n", kShort, kServedInTime, milliseconds(250), kStart);
  metrics.Record("a\"b\\c\n", kShort, kFailed, milliseconds(250), kStart);
  budget_account budget(5000, duration(0));
  budget.TryCharge({.bytes = 130, .where = distance::kOtherRegion}, kStart);
  const std::string text = ExpositionText(metrics, budget, kStart);
  const auto has = [&text](std::string_view line) {
    return text.find(std::string(line) + "\n") != std::string::npos;
  };
  const std::string labels = R"({service="a\"b\\c\n",class="short",)";
  EXPECT_TRUE(has("# TYPE bronzeroute_requests_total counter"));
  EXPECT_TRUE(has("bronzeroute_requests_total" + labels + "result=\"failed\"} 1"));
  EXPECT_TRUE(has("bronzeroute_request_latency_seconds" + labels + "quantile=\"0.99\"} 0.25"));
  EXPECT_TRUE(has("bronzeroute_burn_rate" + labels + "window=\"5m\"} +Inf"));
  EXPECT_TRUE(
      has("bronzeroute_measuring_bytes_total"
          "{purpose=\"membership_probe\",distance=\"other_region\"} 130"));
}

// Guards against a number of series that grows with the document without bound.
TEST(Exposition, AccountsAreCountedUpToABound) {
  const service_metrics metrics({.started = kStart, .unix_time = seconds(0)});
  std::vector<std::string> names;
  names.reserve(203);
  for (int i = 0; i < 203; ++i) names.push_back("account-" + std::to_string(1000 + i));
  const usage_counters counters{.granted = 3, .refused = 2, .lent = 5};
  usage_rows rows;
  for (const std::string& name : names) rows.emplace_back(name, &counters);
  const std::string text = ExpositionText(metrics, budget_account(0, duration(0)), kStart,
                                          exposition_detail::kTotals, {}, rows);
  EXPECT_NE(text.find("bronzeroute_usage_granted_total{account=\"account-1199\"} 3\n"),
            std::string::npos);
  EXPECT_EQ(text.find("account-1200"), std::string::npos);
  EXPECT_NE(text.find("bronzeroute_usage_refused_total{account=\"(others)\"} 6\n"),
            std::string::npos);
  EXPECT_NE(text.find("bronzeroute_usage_lent_total{account=\"account-1000\"} 5\n"),
            std::string::npos);
}

}  // namespace
}  // namespace bronzeroute
