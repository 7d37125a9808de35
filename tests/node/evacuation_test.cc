#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/base/error_response.h"
#include "src/platform/log_read.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

constexpr double kColdRate = 7.5;
// Required time from the store's acknowledgement until no request reaches the zone.
constexpr duration kBound = seconds(5);

/// Four daemons: 0 and 1 are in the zone central-a, 2 and 3 in north-a.
class EvacuationTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(world_.Publish());
    world_.Advance(seconds(20));
  }

  /// Sends 100 requests per second over all entries, some of them protected.
  void Load(duration time) {
    for (const time_point end = world_.now() + time; world_.now() < end; ++sent_) {
      if (const auto request =
              world_.Request(sent_ % 4, sent_ % 5 == 0, "", 1, milliseconds(800))) {
        last_ = *request;
      }
      world_.Advance(milliseconds(10));
    }
  }

  /// Requests that reached the upstream beside the daemon after `from`.
  std::size_t StartsSince(std::size_t index, time_point from) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        world_.Starts(index), [from](time_point at) { return at > from; }));
  }

  /// Requests after `first` whose response is complete.
  std::size_t Complete(std::size_t first) {
    std::size_t complete = 0;
    for (std::size_t i = first; i <= last_; ++i) {
      complete += world_.oracle.calls.at(i).now == call_oracle::state::kComplete ? 1 : 0;
    }
    return complete;
  }

  /// Passes a record to one daemon only.
  void Tell(std::size_t index, const std::string& zone, bool begins, std::int64_t offset) {
    log_read read;
    read.stream = "evacuations.trial";
    read.next = offset + 1;
    read.records.push_back(
        {.offset = offset, .age_ms = 0, .data = "{}", .key = zone, .is_removal = !begins});
    world_.daemon(index).OnLogRead(read, world_.now());
  }

  runtime_world world_{4, {}};
  std::size_t sent_ = 0;
  std::size_t last_ = 0;
};

// Guards against requests that reach an upstream of an evacuated zone, against callers in the
// zone that are no longer served, and against an evacuation that does not end.
TEST_F(EvacuationTest, NoRequestReachesTheZoneAndItsCallersAreServed) {
  Load(seconds(1));
  EXPECT_GT(StartsSince(0, world_.now() - seconds(1)), 0U);
  world_.SetEvacuated("central-a", true);
  Load(kBound);
  const time_point bound = world_.now();
  const std::size_t first = last_ + 1;
  Load(seconds(5));
  world_.Advance(seconds(2));
  EXPECT_EQ(StartsSince(0, bound) + StartsSince(1, bound), 0U);
  EXPECT_GE(Complete(first), (last_ - first + 1) * 95 / 100);
  // The transport would send a request again whose connection ends.
  EXPECT_EQ(world_.UpstreamAddress(0), "");
  EXPECT_NE(world_.UpstreamAddress(2), "");
  EXPECT_EQ(world_.daemon(3).restrictions(world_.now()).evacuated_zones, 1U);
  world_.SetEvacuated("central-a", false);
  world_.Advance(seconds(2));
  EXPECT_NE(world_.UpstreamAddress(0), "");
  Load(seconds(1));
  EXPECT_GT(StartsSince(0, world_.now() - seconds(1)), 0U);
  world_.Settle();
  EXPECT_EQ(world_.oracle.Violations(), "");
}

// Guards against an owner that relies on the entries.
TEST_F(EvacuationTest, TheOwnersCheckAloneIsEnough) {
  Load(seconds(1));
  Tell(0, "central-a", true, 1);
  Tell(1, "central-a", true, 1);
  const time_point told = world_.now();
  const std::size_t first = last_ + 1;
  Load(seconds(2));
  world_.Advance(seconds(2));
  EXPECT_EQ(StartsSince(0, told) + StartsSince(1, told), 0U);
  EXPECT_GE(Complete(first), (last_ - first + 1) * 90 / 100);
}

// Guards against an entry that relies on the owners, also for a key whose home is in the zone.
TEST_F(EvacuationTest, TheEntrysCheckAloneIsEnough) {
  world_.RemoveUpstream(2);
  world_.RemoveUpstream(3);
  world_.Advance(seconds(15));
  const std::string key = world_.IssueKey(2);
  const auto attempts = [this] {
    return world_.daemon(0).calls().owner().counters().attempts +
           world_.daemon(1).calls().owner().counters().attempts;
  };
  EXPECT_EQ(StartsSince(2, world_.now() - seconds(5)), 0U);
  const std::uint64_t before = attempts();
  Tell(2, "central-a", true, 1);
  // Sent before daemon 2 has told the owners of it.
  for (int i = 0; i < 20; ++i) world_.Request(2, i % 5 == 0, "", 1, milliseconds(800));
  const auto keyed = world_.Request(2, true, key, 1, seconds(1));
  world_.Advance(seconds(2));
  EXPECT_EQ(attempts(), before);
  EXPECT_EQ(world_.oracle.calls.at(*keyed).reported, error_kind::kEvacuated);
}

// Guards against queued work that starts after the evacuation began, and against running work
// that is ended by it.
TEST_F(EvacuationTest, QueuedWorkIsRefusedAndRunningWorkFinishes) {
  for (std::size_t i = 0; i < 4; ++i) world_.SetUpstream(i, upstream_mode::kSlow);
  std::vector<std::size_t> requests;
  requests.reserve(24);
  for (int i = 0; i < 24; ++i) {
    requests.push_back(*world_.Request(0, false, "", 1, seconds(8)));
  }
  world_.Advance(milliseconds(100));
  const admission_system& admission = world_.daemon(0).admission().system();
  EXPECT_GT(admission.queued(), 0U);
  const std::size_t running = admission.running();
  EXPECT_GT(running, 0U);
  Tell(0, "central-a", true, 1);
  EXPECT_EQ(admission.queued(), 0U);
  EXPECT_EQ(admission.running(), running);
  const time_point told = world_.now();
  world_.Advance(seconds(8));
  EXPECT_EQ(StartsSince(0, told), 0U);
  std::size_t complete = 0;
  for (const std::size_t each : requests) {
    complete += world_.oracle.calls.at(each).now == call_oracle::state::kComplete ? 1 : 0;
  }
  EXPECT_GE(complete, running);
  EXPECT_EQ(world_.oracle.Violations(), "");
}

// Guards against requests that have run, or for which that is not known, although every zone is
// evacuated, and against an evacuation of a zone without members that has an effect.
TEST_F(EvacuationTest, ZonesOverlapAndAllMayBeEvacuated) {
  world_.SetEvacuated("nowhere", true);
  world_.SetEvacuated("central-a", true);
  world_.SetEvacuated("north-a", true);
  world_.Advance(kBound);
  const time_point bound = world_.now();
  const auto refused = world_.Request(1, true, "", 1, seconds(1));
  world_.Advance(seconds(2));
  const error_kind kind = world_.oracle.calls.at(*refused).reported;
  EXPECT_EQ(ErrorResponseFor(kind).state, execution::kNotRun);
  world_.SetEvacuated("central-a", false);
  world_.Advance(seconds(2));
  Load(seconds(1));
  world_.Advance(seconds(1));
  EXPECT_GT(StartsSince(0, bound), 0U);
  EXPECT_EQ(StartsSince(2, bound) + StartsSince(3, bound), 0U);
}

// Guards against a daemon that starts during an evacuation and does not know of it.
TEST_F(EvacuationTest, ADaemonThatStartsInBetweenKnowsOfIt) {
  world_.Kill(0);
  world_.SetEvacuated("central-a", true);
  world_.Advance(kBound);
  const time_point bound = world_.now();
  world_.Restart(0);
  Load(seconds(10));
  EXPECT_EQ(StartsSince(0, bound) + StartsSince(1, bound), 0U);
  EXPECT_TRUE(world_.daemon(0).evacuations().Contains("central-a"));
}

// Guards against work that a daemon starts when it continues after a freeze in which the
// evacuation began: what its sockets hold is handled in any order.
TEST_F(EvacuationTest, AFrozenDaemonStartsNoWorkWhenItContinues) {
  world_.CutOffLog(0, true);
  world_.Freeze(0, seconds(9));
  // These wait in its sockets before the datagrams that tell of the evacuation.
  for (int i = 0; i < 4; ++i) world_.Request(0, false, "", 1, milliseconds(800));
  world_.Advance(milliseconds(1500));
  world_.SetEvacuated("central-a", true);
  world_.Advance(kBound);
  const time_point bound = world_.now();
  Load(seconds(4));
  EXPECT_EQ(StartsSince(0, bound) + StartsSince(1, bound), 0U);
  EXPECT_TRUE(world_.daemon(0).evacuations().Contains("central-a"));
}

// Guards against daemons that cannot read the log and therefore miss the begin or the end of an
// evacuation, also while datagrams are lost.
TEST_F(EvacuationTest, DaemonsWithoutTheLogLearnFromPeers) {
  world_.options.lose_percent = 30;
  world_.CutOffLog(0, true);
  world_.CutOffLog(3, true);
  world_.SetEvacuated("central-a", true);
  Load(kBound);
  const time_point bound = world_.now();
  Load(seconds(3));
  EXPECT_EQ(StartsSince(0, bound) + StartsSince(1, bound), 0U);
  EXPECT_TRUE(world_.daemon(0).evacuations().Contains("central-a"));
  EXPECT_TRUE(world_.daemon(3).evacuations().Contains("central-a"));
  // One that starts in between has no other source either.
  world_.Kill(0);
  world_.Restart(0);
  Load(seconds(5));
  EXPECT_EQ(StartsSince(0, bound), 0U);
  EXPECT_TRUE(world_.daemon(0).evacuations().Contains("central-a"));
  world_.SetEvacuated("central-a", false);
  world_.Advance(kBound);
  EXPECT_FALSE(world_.daemon(0).evacuations().Contains("central-a"));
  EXPECT_FALSE(world_.daemon(3).evacuations().Contains("central-a"));
}

// Guards against the loss of an evacuation while the log is down, and against a member that was
// cut off for longer than the end of an evacuation is sent and keeps to it for ever.
TEST_F(EvacuationTest, AMemberThatMissedTheEndIsToldAgain) {
  world_.SetEvacuated("north-a", true);
  world_.Advance(seconds(3));
  world_.CutOffLog(2, true);
  world_.CutOffLog(3, true);
  world_.SetPartitioned(true);
  world_.SetEvacuated("north-a", false);
  const time_point cut_off = world_.now();
  Load(seconds(3));
  world_.Advance(seconds(90));
  EXPECT_TRUE(world_.daemon(2).evacuations().Contains("north-a"));
  EXPECT_EQ(StartsSince(2, cut_off) + StartsSince(3, cut_off), 0U);
  EXPECT_FALSE(world_.daemon(0).evacuations().Contains("north-a"));
  world_.SetPartitioned(false);
  world_.Advance(seconds(30));
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_FALSE(world_.daemon(i).evacuations().Contains("north-a")) << i;
  }
}

// Guards against a whole zone that returns cold and gets its usual load before its upstreams
// have announced that they are cold.
TEST(EvacuationEndTest, TheUpstreamsOfAReturningZoneCountAsCold) {
  runtime_world world(4, {.cold_rate_per_s = kColdRate});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.SetEvacuated("central-a", true);
  world.Advance(seconds(10));
  EXPECT_EQ(world.daemon(0).restrictions(world.now()).cold_rate_per_s, 0);
  // They become cold unnoticed, just after an announcement.
  const time_point returned = world.now();
  world.SetEvacuated("central-a", false);
  for (std::size_t i = 0; i < 2; ++i) world.SetCold(i, returned + seconds(6));
  for (int i = 0; i < 1000; ++i) {
    world.Request(static_cast<std::size_t>(i % 4), i % 5 == 0, "", 1, milliseconds(800));
    world.Advance(milliseconds(5));
  }
  for (std::size_t index = 0; index < 2; ++index) {
    const std::vector<time_point>& starts = world.Starts(index);
    std::size_t most = 0;
    for (auto last = starts.begin(); last != starts.end(); ++last) {
      if (*last < returned) continue;
      const auto first = std::upper_bound(starts.begin(), last, *last - seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    EXPECT_GT(most, 0U);
    EXPECT_LE(static_cast<double>(most), 1.5 * kColdRate + 8) << index;
  }
}

}  // namespace
}  // namespace bronzeroute::tests
