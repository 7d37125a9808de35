#include "src/calls/silence_watch.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SilenceWatchTest : public testing::Test {
 protected:
  attempt_id Start(std::uint64_t route = 1) {
    const attempt_id id{{member_id{1}, incarnation_id{1}, ++last_}, 1};
    watch_.OnStarted(id, route, now_);
    return id;
  }
  void Answer(int count, milliseconds time, std::uint64_t route = 1) {
    for (int i = 0; i < count; ++i) {
      const attempt_id id = Start(route);
      Advance(time);
      watch_.OnResponse(id, now_);
    }
  }
  // Ticks every 10 ms; returns what was found.
  std::vector<attempt_id> Advance(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
      now_ += std::min(milliseconds(10), time - passed);
      for (const attempt_id& id : watch_.FindSilent(now_)) {
        found_.push_back(id);
        watch_.OnEnded(id);
      }
    }
    return found_;
  }

  silence_watch watch_;
  time_point now_ = time_point(seconds(1000));
  std::uint64_t last_ = 0;
  std::vector<attempt_id> found_;
};

// Guards against an attempt that occupies its slot until its deadline though the upstream has
// dropped it.
TEST_F(SilenceWatchTest, AttemptThatManyLaterOnesOvertakeIsFound) {
  Answer(40, milliseconds(20));
  const attempt_id silent = Start();
  Answer(10, milliseconds(20));
  EXPECT_TRUE(found_.empty());
  Answer(10, milliseconds(20));
  EXPECT_EQ(found_, std::vector<attempt_id>{silent});
}

// Guards against giving up on attempts at an upstream that is slow as a whole: those that start
// later are not answered earlier.
TEST_F(SilenceWatchTest, SlowUpstreamIsNotSilent) {
  Answer(40, milliseconds(20));
  std::vector<attempt_id> open;
  for (int i = 0; i < 200; ++i) {
    open.push_back(Start());
    Advance(milliseconds(20));
    // From now on responses take 600 ms, and arrive in the order of the requests.
    if (open.size() >= 30) watch_.OnResponse(open[open.size() - 30], now_);
  }
  EXPECT_TRUE(found_.empty());
}

TEST_F(SilenceWatchTest, UpstreamThatHangsIsNotSilent) {
  Answer(40, milliseconds(20));
  for (int i = 0; i < 10; ++i) Start();
  Advance(seconds(20));
  EXPECT_TRUE(found_.empty());
}

// Guards against comparing a route that takes long with one that does not.
TEST_F(SilenceWatchTest, RouteIsComparedWithItself) {
  Answer(20, milliseconds(800), 2);
  const attempt_id slow = Start(2);
  Answer(100, milliseconds(20), 1);
  EXPECT_TRUE(found_.empty());
  Answer(200, milliseconds(20), 1);
  EXPECT_EQ(found_, std::vector<attempt_id>{slow});
}

TEST_F(SilenceWatchTest, RouteWithoutObservationsIsNotJudged) {
  Start(3);
  Answer(500, milliseconds(20), 1);
  EXPECT_TRUE(found_.empty());
}

// Guards against responses that the process has not read yet because it was paused.
TEST_F(SilenceWatchTest, ResponseReadAfterAPauseCounts) {
  Answer(40, milliseconds(20));
  const attempt_id late = Start();
  Answer(9, milliseconds(2));
  now_ += seconds(2);
  EXPECT_TRUE(watch_.FindSilent(now_).empty());
  watch_.OnResponse(late, now_);
  Advance(seconds(1));
  EXPECT_TRUE(found_.empty());
}

}  // namespace
}  // namespace bronzeroute
