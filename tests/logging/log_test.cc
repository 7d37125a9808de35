#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "src/logging/log_budget.h"
#include "src/logging/log_line.h"
#include "src/logging/log_writer.h"

namespace bronzeroute {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

// Guards against a received value that splits a log line or forges another field.
TEST(LogLine, QuotesValuesFromOutside) {
  log_line line(log_weight::kProblem, "call", "call_ended");
  line.Add("request", "a b\"c\nlevel=info")
      .Add("empty", "")
      .Add("count", 3)
      .Add("took_ms", duration(1500))
      .Add("plain", "x-1");
  EXPECT_EQ(line.text(),
            "part=call event=call_ended request=\"a b\\\"c?level=info\" empty=\"\" count=3 "
            "took_ms=1.5 plain=x-1");
}

TEST(LogLine, TruncatesLongValues) {
  log_line line(log_weight::kState, "a", "b");
  line.Add("v", std::string(5000, 'x'));
  EXPECT_LT(line.text().size(), 300U);
}

// Guards against successes that crowd out failures, and failures that crowd out state.
TEST(LogBudget, DropsLowestWeightFirst) {
  log_budget budget(1000);
  while (budget.TryCharge(log_weight::kSuccess, 100, kStart)) {
  }
  EXPECT_TRUE(budget.TryCharge(log_weight::kProblem, 100, kStart));
  while (budget.TryCharge(log_weight::kProblem, 100, kStart)) {
  }
  EXPECT_TRUE(budget.TryCharge(log_weight::kState, 100, kStart));
  EXPECT_EQ(budget.dropped(log_weight::kSuccess), 1U);
  EXPECT_EQ(budget.TakeDropped(), 2U);
  EXPECT_EQ(budget.TakeDropped(), 0U);
}

// Guards against a log volume that grows with the load: the lines of ten seconds at full load
// stay within the budget of ten seconds plus the accumulated burst.
TEST(LogBudget, LimitsBytesUnderFullLoad) {
  constexpr std::size_t kBytesPerSecond = 64'000;
  constexpr std::size_t kLineBytes = 300;
  log_budget budget(kBytesPerSecond);
  std::size_t written = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    for (int line = 0; line < 5; ++line) {
      const auto weight = line == 0 ? log_weight::kProblem : log_weight::kSuccess;
      if (budget.TryCharge(weight, kLineBytes, kStart + std::chrono::milliseconds(ms))) {
        written += kLineBytes;
      }
    }
  }
  EXPECT_LE(written, 12 * kBytesPerSecond);
  EXPECT_GE(written, 9 * kBytesPerSecond);
}

// Guards against a reader that stops reading and thereby blocks the process or grows its
// memory.
TEST(LogWriter, NeverBlocksOnAFullPipe) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  log_writer writer(ends[1], 10'000'000);
  for (int i = 0; i < 20'000; ++i) {
    log_line line(log_weight::kState, "test", "line");
    line.Add("number", i).Add("filler", std::string(100, 'x'));
    writer.Write(line);
    writer.Tick(kStart);
  }
  EXPECT_GT(writer.dropped(), 0U);
  // The pipe holds complete lines, starting with the first one.
  std::string text(1 << 20, '\0');
  const ssize_t count = read(ends[0], text.data(), text.size());
  ASSERT_GT(count, 0);
  text.resize(static_cast<std::size_t>(count));
  EXPECT_TRUE(text.starts_with("ts=")) << text.substr(0, 80);
  EXPECT_NE(text.find("event=line number=0 "), std::string::npos);
  writer.Tick(kStart + std::chrono::seconds(10));
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace bronzeroute
