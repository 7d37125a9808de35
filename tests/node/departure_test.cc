#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "src/admission/upstream_notice.h"
#include "src/membership/upstream_announcement.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

constexpr std::int64_t kStarted = 100;

/// Three daemons; the upstream beside the first one announces itself only through `Announce`.
class DepartureTest : public testing::Test {
 protected:
  DepartureTest() {
    EXPECT_TRUE(world_.Publish());
    world_.Advance(seconds(20));
    world_.RemoveUpstream(0);
    Announce(1);
    EXPECT_TRUE(IsInUse());
  }

  bool Announce(std::uint64_t sequence, bool is_leaving = false,
                const std::string& identity = "own", std::int64_t started_ms = kStarted) {
    return world_.daemon(0).OnAnnouncement({.service = "media",
                                            .address = "10.0.1.1:80",
                                            .slots = 4,
                                            .connections = 50,
                                            .identity = identity,
                                            .started_ms = started_ms,
                                            .sequence = sequence,
                                            .is_leaving = is_leaving},
                                           world_.now());
  }
  void Deregister() { world_.daemon(0).OnUpstreamLeaving("own", kStarted, 0, world_.now()); }
  void Restart() {
    world_.Kill(0);
    world_.Advance(milliseconds(500));
    world_.Restart(0);
  }
  bool IsInUse() {
    const node_runtime& daemon = world_.daemon(0);
    return daemon.membership().upstream() != nullptr && !daemon.admission().system().draining();
  }

  /// Waits, as the endpoints do, for the record of the departures; the outcome is in
  /// `recorded_`.
  void AwaitRecord() {
    recorded_.reset();
    world_.daemon(0).AwaitDepartureRecord(
        world_.now() + milliseconds(800), [this](bool is_recorded) { recorded_ = is_recorded; },
        world_.now());
  }

  runtime_world world_{3, {}};
  std::optional<bool> recorded_;
};

// Each guards against a daemon that was restarted and uses an upstream whose departure the
// process before it had acknowledged, since an announcement from before arrives late.
TEST_F(DepartureTest, DeregisteredUpstreamIsNotUsedAfterARestart) {
  Deregister();
  world_.Advance(milliseconds(300));
  Restart();
  world_.Advance(seconds(1));
  Announce(3);
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, DrainingUpstreamIsNotUsedAfterARestart) {
  Announce(2, true);
  world_.Advance(milliseconds(300));
  Restart();
  world_.Advance(seconds(1));
  Announce(3);
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, UpstreamThatSaidInAResponseThatItLeavesIsNotUsedAfterARestart) {
  upstream_notice leaving;
  leaving.is_leaving = true;
  world_.daemon(0).OnUpstreamNotice(leaving, world_.now());
  world_.Advance(milliseconds(300));
  Restart();
  world_.Advance(seconds(1));
  Announce(3);
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, LateAnnouncementBeforeTheFirstReadOfTheLogIsNotUsed) {
  Deregister();
  world_.Advance(milliseconds(300));
  world_.log.delay = milliseconds(400);
  Restart();
  Announce(3);
  EXPECT_FALSE(IsInUse());
  world_.Advance(seconds(3));
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, DepartureOutlastsSeveralRestarts) {
  Deregister();
  world_.Advance(milliseconds(300));
  for (int i = 0; i < 3; ++i) {
    Restart();
    // Kills follow each other before and after the process has written its own record.
    world_.Advance(i % 2 == 0 ? milliseconds(30) : milliseconds(8000));
  }
  Announce(3);
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, PeersTellOfADepartureWhileTheLogIsDown) {
  Deregister();
  world_.Advance(seconds(2));
  world_.log.is_down = true;
  Restart();
  world_.Advance(seconds(3));
  Announce(3);
  EXPECT_FALSE(IsInUse());
}

TEST_F(DepartureTest, UpstreamUsedByMistakeIsDrainedOnceTheLogIsBack) {
  Deregister();
  world_.Advance(milliseconds(300));
  world_.log.is_down = true;
  world_.Kill(1);
  world_.Kill(2);
  Restart();
  world_.Advance(seconds(1));
  // Neither the log nor a peer can tell.
  Announce(3);
  EXPECT_TRUE(IsInUse());
  world_.log.is_down = false;
  world_.Advance(seconds(4));
  EXPECT_FALSE(IsInUse());
}

// Each guards against a daemon that leaves a live upstream unused after a restart.
TEST_F(DepartureTest, LiveUpstreamIsUsedOnceTheLogIsRead) {
  Restart();
  Announce(2);
  world_.Advance(milliseconds(100));
  EXPECT_TRUE(IsInUse());
}

TEST_F(DepartureTest, LiveUpstreamIsUsedWhileTheLogIsDown) {
  world_.log.is_down = true;
  Restart();
  Announce(2);
  world_.Advance(milliseconds(100));
  EXPECT_TRUE(IsInUse());
}

TEST_F(DepartureTest, LiveUpstreamIsUsedWhileTheLogIsSilent) {
  world_.log.delay = seconds(20);
  Restart();
  Announce(2);
  world_.Advance(milliseconds(1100));
  EXPECT_TRUE(IsInUse());
}

TEST_F(DepartureTest, LaterStartOfTheSameIdentityIsUsedAfterARestart) {
  Deregister();
  world_.Advance(milliseconds(300));
  Restart();
  world_.Advance(seconds(1));
  EXPECT_FALSE(Announce(3));
  EXPECT_TRUE(Announce(1, false, "own", kStarted + 50));
  EXPECT_TRUE(IsInUse());
}

// Guards against another writer's announcement with a higher sequence that hides that the
// upstream leaves.
TEST_F(DepartureTest, LeavingCountsWhateverWasAnnouncedSince) {
  ASSERT_TRUE(Announce(50));
  EXPECT_FALSE(Announce(3, true));
  EXPECT_FALSE(IsInUse());
  Announce(51);
  EXPECT_FALSE(IsInUse());
  world_.Advance(milliseconds(300));
  Restart();
  world_.Advance(seconds(1));
  Announce(52);
  EXPECT_FALSE(IsInUse());
}

// Guards against a late leaving of an earlier incarnation that drains the live one, or that is
// forgotten.
TEST_F(DepartureTest, LateLeavingOfAnEarlierIncarnationLeavesTheLiveOneInUse) {
  ASSERT_TRUE(Announce(1, false, "next", kStarted + 50));
  EXPECT_FALSE(Announce(2, true));
  EXPECT_TRUE(IsInUse());
  for (std::uint64_t sequence = 3; sequence < 9; ++sequence) EXPECT_FALSE(Announce(sequence));
  EXPECT_EQ(world_.daemon(0).membership().upstream()->identity, "next");
}

// Each guards against an acknowledgement that a later process of the daemon does not know of.
TEST_F(DepartureTest, AcknowledgementWaitsForTheLog) {
  world_.log.delay = milliseconds(200);
  Deregister();
  AwaitRecord();
  world_.Advance(milliseconds(150));
  EXPECT_EQ(recorded_, std::nullopt);
  world_.Advance(milliseconds(100));
  EXPECT_EQ(recorded_, true);
}

TEST_F(DepartureTest, DepartureThatTheLogDoesNotTakeIsNotAcknowledgedUntilItDoes) {
  world_.log.is_down = true;
  const auto announce_leaving = [&](std::uint64_t sequence) {
    Announce(sequence, true);
    EXPECT_FALSE(IsInUse());
    AwaitRecord();
    world_.Advance(milliseconds(900));
    return recorded_;
  };
  EXPECT_EQ(announce_leaving(2), false);
  EXPECT_EQ(announce_leaving(3), false);
  world_.log.is_down = false;
  EXPECT_EQ(announce_leaving(4), true);
}

TEST_F(DepartureTest, AppendWhoseResponseIsLostIsRepeated) {
  world_.log.lose_answers = 1;
  Deregister();
  AwaitRecord();
  world_.Advance(milliseconds(800));
  EXPECT_EQ(recorded_, true);
}

// Guards against another writer whose departures of invented upstreams cost calls to the log or
// displace those of the real one.
TEST_F(DepartureTest, DeparturesOfUnknownUpstreamsAreNotRecorded) {
  const std::size_t before = world_.log.streams["members.trial"].records.size();
  for (int i = 0; i < 20; ++i) {
    world_.daemon(0).OnUpstreamLeaving("invented-" + std::to_string(i), 1, 0, world_.now());
  }
  world_.Advance(seconds(2));
  EXPECT_EQ(world_.log.streams["members.trial"].records.size(), before);
  EXPECT_TRUE(IsInUse());
}

}  // namespace
}  // namespace bronzeroute::tests
