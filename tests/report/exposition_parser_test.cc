#include "src/report/exposition_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/report/report_fixture.h"

namespace bronzeroute {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

void ExpectSameMinutes(const burn_window& window, const process_metrics::class_row& parsed,
                       duration unix_now, time_point now) {
  const std::vector<burn_window::slot_counts> slots = window.Slots(now);
  RC_ASSERT(parsed.minutes.size() == slots.size());
  const std::int64_t newest = std::chrono::floor<minutes>(unix_now).count();
  for (const burn_window::slot_counts& slot : slots) {
    const auto found = parsed.minutes.find(newest - static_cast<std::int64_t>(slot.steps_ago));
    RC_ASSERT(found != parsed.minutes.end());
    RC_ASSERT(found->second.bad == BadRequests(slot.results));
    RC_ASSERT(found->second.good + found->second.bad == AllRequests(slot.results));
  }
}

// Guards against numbers or names that change between the daemon and the report, by rounding,
// escaping or a shift of one minute.
RC_GTEST_PROP(ExpositionParser, ReadsWhatTheDaemonWrites, ()) {
  const auto range = [](std::int64_t end) { return *rc::gen::inRange<std::int64_t>(0, end); };
  const process_start start{.started = time_point(duration(range(1'000'000'000))),
                            .unix_time = kUnixStart + duration(range(1'000'000'000))};
  service_metrics metrics(start);
  const auto names = *rc::gen::unique<std::vector<std::string>>(rc::gen::string<std::string>());
  for (const std::string& name : names) {
    metrics.SetObjective(name, static_cast<double>(range(100'001)) / 1e5);
  }
  time_point now = start.started;
  const std::int64_t requests = names.empty() ? 0 : range(200);
  for (std::int64_t i = 0; i < requests; ++i) {
    now += duration(range(90'000'000));
    metrics.Record(*rc::gen::elementOf(names), static_cast<request_class>(range(3)),
                   static_cast<request_result>(range(5)), duration(range(9'000'000)), now);
  }
  now += duration(range(200'000'000));

  const auto parsed = ParseExposition(Exposition(metrics, now));
  RC_ASSERT(parsed.ok());
  RC_ASSERT(parsed->started == start.unix_time);
  RC_ASSERT(parsed->uptime == now - start.started);
  RC_ASSERT(parsed->services.size() == names.size());
  for (const auto& [name, written] : metrics.services()) {
    const auto found = parsed->services.find(name);
    RC_ASSERT(found != parsed->services.end());
    RC_ASSERT(found->second.objective == written.objective);
    for (std::size_t i = 0; i < kRequestClasses; ++i) {
      const auto& read = found->second.classes[i];
      RC_ASSERT(read.has_value() == (written.classes[i] != nullptr));
      if (!read) continue;
      RC_ASSERT(read->short_window == written.classes[i]->short_window.Counts(now));
      RC_ASSERT(read->long_window == written.classes[i]->long_window.Counts(now));
      RC_ASSERT(std::llround(read->p99 * 1e6) ==
                written.classes[i]->latency.Quantile(2, now).count());
      ExpectSameMinutes(written.classes[i]->long_window, *read, parsed->read_at(), now);
    }
  }
}

// Guards against accepting a truncated text as complete.
TEST(ExpositionParser, RefusesEveryTruncation) {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("a \"b\"", 0.99);
  RecordMany(metrics, "a \"b\"", request_class::kLong, request_result::kUnknown, 3, kStart);
  const std::string whole = Exposition(metrics, kStart);
  ASSERT_TRUE(ParseExposition(whole).ok());
  // Only the last line break may be missing, since the last line is then still complete.
  for (std::size_t length = 0; length + 1 < whole.size(); ++length) {
    EXPECT_FALSE(ParseExposition(whole.substr(0, length)).ok()) << length;
  }
}

// Guards against sums that are too low because a missing or damaged line was not detected.
TEST(ExpositionParser, RefusesMissingAndDamagedLines) {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("estoque", 0.99);
  RecordMany(metrics, "estoque", request_class::kShort, request_result::kRefused, 3, kStart);
  const std::string whole = Exposition(metrics, kStart + seconds(90));
  const auto with = [&whole](const std::string& from, const std::string& to) {
    const std::size_t at = whole.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return ParseExposition(std::string(whole).replace(at, from.size(), to)).ok();
  };
  const std::string sample =
      R"(bronzeroute_window_requests{service="estoque",class="short",window="1h",)"
      "result=\"refused\"} ";
  const std::string window = sample + "3\n";
  EXPECT_TRUE(with(window, window));
  EXPECT_FALSE(with(window, ""));
  EXPECT_FALSE(with(window, window + window));
  EXPECT_FALSE(with("bronzeroute_uptime_seconds 90\n", ""));
  const std::string minute =
      R"(bronzeroute_minute_requests{service="estoque",class="short",minutes_ago="1",)"
      "outcome=\"bad\"} 3\n";
  EXPECT_FALSE(with(minute, ""));
  EXPECT_FALSE(with("bronzeroute_objective{service=\"estoque\"} 0.99\n", ""));
  for (const char* value : {"-1", "1.5", "+Inf", "nan", "", "3 ", "1e300"}) {
    EXPECT_FALSE(with(window, sample + value + "\n")) << value;
  }
}

}  // namespace
}  // namespace bronzeroute
