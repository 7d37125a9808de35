#include "src/membership/upstream_history.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

  void Retire(const std::string& identity, std::optional<std::int64_t> started_ms = {}) {
    history_.Retire(identity, started_ms, kUnixMs, now_);
  }

  static constexpr std::int64_t kUnixMs = 1'000'000;
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
  Retire("a");
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

// Guards against a late announcement of a crashed incarnation that retires the live one at a
// daemon that restarted and so does not know the crashed one.
TEST_F(UpstreamHistoryTest, IgnoresLateAnnouncementsOfAnUnknownEarlierIncarnation) {
  EXPECT_TRUE(Announce("b", 200, 1));
  EXPECT_FALSE(Announce("a", 100, 50));
  EXPECT_TRUE(Announce("b", 200, 2));
  EXPECT_FALSE(Announce("a", 100, 51));
  EXPECT_FALSE(Announce("a", 100, 52));
  EXPECT_TRUE(Announce("b", 200, 3));
}

// Guards against a live incarnation that one odd announcement replaces for good.
TEST_F(UpstreamHistoryTest, ReplacedIncarnationThatGoesOnBecomesCurrentAgain) {
  EXPECT_TRUE(Announce("a", 100, 1));
  EXPECT_TRUE(Announce("x", 300, 1));
  EXPECT_FALSE(Announce("a", 100, 2));
  EXPECT_FALSE(Announce("a", 100, 3));
  EXPECT_TRUE(Announce("a", 100, 4));
  EXPECT_TRUE(Announce("a", 100, 5));
}

// Guards against an announcement in flight that brings an incarnation back which left a daemon
// that had restarted and did not know it yet.
TEST_F(UpstreamHistoryTest, IgnoresAnUnknownIncarnationThatLeft) {
  Retire("a");
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    EXPECT_FALSE(Announce("a", 100, sequence));
  }
  EXPECT_TRUE(Announce("a", kUnixMs + 1, 1));
}

// Guards against a late leave of an earlier start that retires a restarted upstream of the same
// identity.
TEST_F(UpstreamHistoryTest, LeaveOfAnEarlierStartKeepsTheLaterOne) {
  EXPECT_TRUE(Announce("a", 100, 1));
  EXPECT_TRUE(Announce("a", 200, 1));
  Retire("a", 100);
  EXPECT_TRUE(Announce("a", 200, 2));
  EXPECT_FALSE(history_.HasLeft("a", 200));
}

// What may happen to the daemon beside an upstream that crashes and starts again.
enum class step { kFirst, kFirstLate, kSecond, kFirstLeaves, kOther, kRestart };

// Guards against an order of announcements, leaves and restarts of the daemon after which a
// live incarnation is not in use, or one that left is: all orders of up to six steps.
TEST(UpstreamHistoryModel, LiveIncarnationIsAcceptedAfterEveryOrder) {
  std::vector<step> steps = {step::kFirst,       step::kFirstLate, step::kSecond,
                             step::kFirstLeaves, step::kOther,     step::kRestart};
  int orders = 0;
  do {
    for (std::size_t length = 0; length <= steps.size(); ++length) {
      upstream_history history;
      time_point now{std::chrono::seconds(1000)};
      std::uint64_t first_sequence = 10;
      std::uint64_t second_sequence = 0;
      bool has_left = false;
      bool is_first_accepted = false;
      const auto announce = [&](const char* identity, std::int64_t started,
                                std::uint64_t sequence) {
        now += std::chrono::milliseconds(1500);
        return history.Accept(
            {.identity = identity, .started_ms = started, .sequence = sequence}, now);
      };
      std::string trace;
      for (std::size_t i = 0; i < length; ++i) {
        trace += std::to_string(static_cast<int>(steps[i]));
        switch (steps[i]) {
          case step::kFirst:
            is_first_accepted = announce("first", 1000, ++first_sequence);
            break;
          case step::kFirstLate:
            is_first_accepted = announce("first", 1000, 5);
            break;
          case step::kSecond:
            announce("second", 2000, ++second_sequence);
            break;
          case step::kFirstLeaves:
            history.Retire("first", std::nullopt, 1500, now);
            has_left = true;
            break;
          case step::kOther:
            announce("other", 3000, 1);
            break;
          case step::kRestart:
            // A leave that only the ended process knew is out of scope here.
            if (!has_left) history = upstream_history();
            break;
        }
        if (has_left && steps[i] != step::kFirstLeaves) {
          const bool is_first = steps[i] == step::kFirst || steps[i] == step::kFirstLate;
          EXPECT_FALSE(is_first && is_first_accepted) << trace;
        }
      }
      // The live incarnation goes on; three announcements are enough.
      bool is_accepted = false;
      for (int i = 0; i < 3; ++i) is_accepted = announce("second", 2000, ++second_sequence);
      EXPECT_TRUE(is_accepted) << trace;
      ++orders;
    }
  } while (std::ranges::next_permutation(steps).found);
  EXPECT_EQ(orders, 720 * 7);
}

TEST_F(UpstreamHistoryTest, AcceptsEveryAnnouncementWithoutIdentity) {
  EXPECT_TRUE(Announce("", 0, 0));
  EXPECT_TRUE(Announce("", 0, 0));
}

}  // namespace
}  // namespace bronzeroute
