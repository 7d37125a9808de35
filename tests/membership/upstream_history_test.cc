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
  bool Announce(const std::string& identity, std::int64_t started_ms, std::uint64_t sequence) {
    now_ += std::chrono::milliseconds(1500);
    return history_.Accept(
        {.identity = identity, .started_ms = started_ms, .sequence = sequence}, now_);
  }

  upstream_history history_;
  time_point now_{std::chrono::seconds(1000)};
};

TEST_F(UpstreamHistoryTest, AcceptsAnnouncementsInOrder) {
  EXPECT_TRUE(Announce("a", 100, 1));
  EXPECT_TRUE(Announce("a", 100, 3));
  EXPECT_FALSE(Announce("a", 100, 2));
  EXPECT_FALSE(Announce("a", 100, 3));
  EXPECT_TRUE(Announce("a", 100, 4));
}

// Guards against a late announcement of a crashed incarnation that replaces the live one.
TEST_F(UpstreamHistoryTest, IgnoresLateAnnouncementsOfAnEarlierIncarnation) {
  EXPECT_TRUE(Announce("a", 100, 1));
  EXPECT_TRUE(Announce("b", 200, 1));
  EXPECT_FALSE(Announce("a", 100, 2));
  EXPECT_TRUE(history_.IsRetired("a"));
  EXPECT_TRUE(Announce("b", 200, 2));
}

// Guards against rejecting a restarted upstream because it has the same identity and its
// sequence starts again.
TEST_F(UpstreamHistoryTest, AcceptsANewStartUnderTheSameIdentity) {
  EXPECT_TRUE(Announce("a", 100, 50));
  EXPECT_TRUE(Announce("a", 200, 1));
  EXPECT_FALSE(Announce("a", 100, 51));
  EXPECT_TRUE(Announce("a", 200, 2));
}

// Guards against an announcement in flight that brings an incarnation back after it left.
TEST_F(UpstreamHistoryTest, IgnoresAnIncarnationThatLeft) {
  EXPECT_TRUE(Announce("a", 100, 1));
  history_.Retire("a", now_);
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    EXPECT_FALSE(Announce("a", 100, sequence));
  }
}

// Guards against an upstream that is rejected for good because its clock was set back before it
// started.
TEST_F(UpstreamHistoryTest, AcceptsALiveIncarnationWhoseClockWentBack) {
  EXPECT_TRUE(Announce("a", 500'000, 9));
  EXPECT_FALSE(Announce("a", 100, 1));
  EXPECT_FALSE(Announce("a", 100, 2));
  EXPECT_TRUE(Announce("a", 100, 3));
  EXPECT_TRUE(Announce("a", 100, 4));
}

TEST_F(UpstreamHistoryTest, AcceptsEveryAnnouncementWithoutIdentity) {
  EXPECT_TRUE(Announce("", 0, 0));
  EXPECT_TRUE(Announce("", 0, 0));
}

}  // namespace
}  // namespace bronzeroute
