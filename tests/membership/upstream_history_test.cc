#include "src/membership/upstream_history.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "src/membership/upstream_announcement.h"

namespace bronzeroute {
namespace {

class UpstreamHistoryTest : public testing::Test {
 protected:
  bool Hear(const std::string& identity, std::int64_t started_ms, std::uint64_t sequence) {
    now_ += std::chrono::milliseconds(1500);
    return history_.Accept(
        {.identity = identity, .started_ms = started_ms, .sequence = sequence}, now_);
  }

  upstream_history history_;
  time_point now_{std::chrono::seconds(1000)};
};

TEST_F(UpstreamHistoryTest, TakesAnnouncementsInOrder) {
  EXPECT_TRUE(Hear("a", 100, 1));
  EXPECT_TRUE(Hear("a", 100, 3));
  EXPECT_FALSE(Hear("a", 100, 2));
  EXPECT_FALSE(Hear("a", 100, 3));
  EXPECT_TRUE(Hear("a", 100, 4));
}

// Guards against a late report of a crashed run that takes the place of the live one.
TEST_F(UpstreamHistoryTest, IgnoresLateReportsOfAnEarlierRun) {
  EXPECT_TRUE(Hear("a", 100, 1));
  EXPECT_TRUE(Hear("b", 200, 1));
  EXPECT_FALSE(Hear("a", 100, 2));
  EXPECT_TRUE(history_.IsRetired("a"));
  EXPECT_TRUE(Hear("b", 200, 2));
}

// Guards against a run under the same identity whose count starts anew being taken for old.
TEST_F(UpstreamHistoryTest, KnowsANewStartUnderTheSameIdentity) {
  EXPECT_TRUE(Hear("a", 100, 50));
  EXPECT_TRUE(Hear("a", 200, 1));
  EXPECT_FALSE(Hear("a", 100, 51));
  EXPECT_TRUE(Hear("a", 200, 2));
}

// Guards against a run that left and is used again because of a report that was under way.
TEST_F(UpstreamHistoryTest, StaysAwayFromARunThatLeft) {
  EXPECT_TRUE(Hear("a", 100, 1));
  history_.Retire("a", now_);
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    EXPECT_FALSE(Hear("a", 100, sequence));
  }
}

// Guards against a worker that is never used because its clock went back before its start.
TEST_F(UpstreamHistoryTest, BelievesALiveRunWhoseClockWentBack) {
  EXPECT_TRUE(Hear("a", 500'000, 9));
  EXPECT_FALSE(Hear("a", 100, 1));
  EXPECT_FALSE(Hear("a", 100, 2));
  EXPECT_TRUE(Hear("a", 100, 3));
  EXPECT_TRUE(Hear("a", 100, 4));
}

TEST_F(UpstreamHistoryTest, TakesEveryAnnouncementWithoutIdentity) {
  EXPECT_TRUE(Hear("", 0, 0));
  EXPECT_TRUE(Hear("", 0, 0));
}

}  // namespace
}  // namespace bronzeroute
