#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/measuring/exposition.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

constexpr double kColdRate = 7.5;

/// Four daemons that get short requests, some of them protected, at each entry in turn.
class ColdUpstreamTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(world_.Publish());
    world_.Advance(seconds(20));
  }

  void Load(duration time, duration interval = milliseconds(20)) {
    for (const time_point end = world_.now() + time; world_.now() < end; ++sent_) {
      world_.Request(sent_ % 4, sent_ % 5 == 0, "", 1, seconds(1));
      world_.Advance(interval);
    }
  }

  /// Largest number of requests in a second that ends at `from` or later.
  std::size_t MostInSecond(std::size_t index, time_point from) const {
    const std::vector<time_point>& starts = world_.Starts(index);
    std::size_t most = 0;
    for (auto last = starts.begin(); last != starts.end(); ++last) {
      if (*last < from) continue;
      const auto first = std::upper_bound(starts.begin(), last, *last - seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

  runtime_world world_{4, {.cold_rate_per_s = kColdRate}};
  std::size_t sent_ = 0;
};

// Guards against too many requests to upstreams that all become cold at once under load, over
// all entries, and after a daemon restarts beside a cold one.
TEST_F(ColdUpstreamTest, AllUpstreamsColdAtOnceGetNoMoreThanTheyTake) {
  Load(seconds(1), milliseconds(5));
  EXPECT_GT(MostInSecond(1, world_.now() - seconds(1)), 1.5 * kColdRate + 8);
  for (std::size_t i = 0; i < 4; ++i) world_.SetCold(i, world_.now() + seconds(12));
  // Each daemon learns of it with the next announcement.
  Load(seconds(2), milliseconds(10));
  const time_point known = world_.now();
  EXPECT_GT(world_.daemon(0).restrictions(known).cold_rate_per_s, 0);
  Load(seconds(3));
  world_.Kill(1);
  Load(milliseconds(300));
  world_.Restart(1);
  Load(seconds(6));
  for (std::size_t i = 0; i < 4; ++i) {
    const auto most = static_cast<double>(MostInSecond(i, known));
    EXPECT_LE(most, 1.5 * kColdRate + 8) << i;
    EXPECT_GE(most, kColdRate - 1) << i;
  }
  EXPECT_GT(world_.daemon(0).restrictions(world_.now()).held_by_cold_limit, 0U);
  Load(seconds(3));
  EXPECT_EQ(world_.daemon(0).restrictions(world_.now()).cold_rate_per_s, 0);
  world_.Settle();
  EXPECT_EQ(world_.oracle.Violations(), "");
}

// Guards against a limit that no metric shows.
TEST_F(ColdUpstreamTest, MetricsShowTheLimit) {
  world_.SetCold(0, world_.now() + seconds(30));
  Load(seconds(4));
  const node_runtime& daemon = world_.daemon(0);
  const std::string text =
      ExpositionText(daemon.metrics(), daemon.budget(), world_.now(),
                     exposition_detail::kTotals, daemon.restrictions(world_.now()));
  EXPECT_NE(text.find("bronzeroute_cold_rate_limit 7.5\n"), std::string::npos);
  EXPECT_EQ(text.find("bronzeroute_cold_limit_held_total 0\n"), std::string::npos);
}

}  // namespace
}  // namespace bronzeroute::tests
