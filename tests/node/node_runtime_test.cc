#include <gtest/gtest.h>

#include <string>

#include "src/admission/upstream_notice.h"
#include "src/base/error_response.h"
#include "src/calls/call_history.h"
#include "src/calls/issued_key.h"
#include "src/membership/upstream_announcement.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

/// Sends one short request, runs until it has ended, and returns its outcome.
std::string Outcome(runtime_world& world, std::size_t entry, bool is_protected = false,
                    const std::string& key = "", std::uint32_t caller_try = 1) {
  const auto request = world.Request(entry, is_protected, key, caller_try, seconds(1));
  world.Advance(seconds(2));
  if (!request) return "no entry";
  const auto& row = world.oracle.calls.at(*request);
  if (row.now == call_oracle::state::kComplete) return "complete";
  return std::string(ErrorResponseFor(row.reported).name);
}

// Guards against a daemon whose clock went back across a restart and which keeps an incarnation
// lower than the one its peers have stored: it refused their attempts with wrong_incarnation,
// and they refused its own with duplicate_attempt.
TEST(NodeRuntime, AdoptsIncarnationBumpedByMembership) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.RemoveUpstream(0);
  EXPECT_EQ(Outcome(world, 0), "complete");
  world.Kill(1);
  world.Restart(1, seconds(40));
  world.Advance(seconds(20));
  EXPECT_EQ(Outcome(world, 0), "complete");
  EXPECT_EQ(Outcome(world, 1), "complete");
  const std::string key = world.IssueKey(0);
  ASSERT_TRUE(ParseIssuedKey(key));
  EXPECT_EQ(ParseIssuedKey(key)->home.incarnation,
            world.daemon(1).membership().self().incarnation);
  EXPECT_EQ(Outcome(world, 0, true, key), "complete");
  EXPECT_EQ(Outcome(world, 0, true, key, 2), "duplicate_key");
  EXPECT_EQ(world.oracle.Violations(), "");
}

upstream_announcement Announced(const std::string& service, const std::string& identity,
                                std::int64_t started_ms, std::uint64_t sequence) {
  return {.service = service,
          .address = "10.0.1.1:80",
          .slots = 4,
          .connections = 50,
          .identity = identity,
          .started_ms = started_ms,
          .sequence = sequence};
}

// Guards against a request that may run only once, or whose rule is not known, beside others of
// its connection.
TEST(NodeRuntime, OnlyRepeatableRequestsMayRunConcurrently) {
  runtime_world world(1, {});
  EXPECT_FALSE(world.daemon(0).MayRunConcurrently("POST", "", "/media/read"));
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  EXPECT_TRUE(world.daemon(0).MayRunConcurrently("POST", "", "/media/read"));
  EXPECT_FALSE(world.daemon(0).MayRunConcurrently("POST", "", "/media/scores"));
  EXPECT_FALSE(world.daemon(0).MayRunConcurrently("GET", "", "/unknown"));
}

// Guards against another writer's announcement, of a service that the configuration does not
// name, that takes the place of the upstream in use.
TEST(NodeRuntime, AnnouncementOfAnUnknownServiceReplacesNothing) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.RemoveUpstream(0);
  node_runtime& daemon = world.daemon(0);
  EXPECT_TRUE(daemon.OnAnnouncement(Announced("media", "own", 100, 1), world.now()));
  EXPECT_FALSE(daemon.OnAnnouncement(Announced("archive", "other", 200, 1), world.now()));
  EXPECT_FALSE(daemon.OnAnnouncement(Announced("archive", "own", 100, 2), world.now()));
  EXPECT_EQ(daemon.membership().upstream()->identity, "own");
  EXPECT_EQ(daemon.membership().upstream()->service, "media");
  EXPECT_TRUE(daemon.OnAnnouncement(Announced("media", "own", 100, 3), world.now()));
  EXPECT_EQ(Outcome(world, 0), "complete");
}

// Guards against another writer's announcement that arrives before any configuration and keeps
// the upstream of a named service from being used afterwards.
TEST(NodeRuntime, UnknownServiceAnnouncedBeforeTheConfigurationIsReplacedAtOnce) {
  runtime_world world(2, {});
  world.RemoveUpstream(0);
  node_runtime& daemon = world.daemon(0);
  EXPECT_TRUE(daemon.OnAnnouncement(Announced("archive", "other", 200, 1), world.now()));
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(5));
  EXPECT_TRUE(daemon.OnAnnouncement(Announced("media", "own", 100, 1), world.now()));
  EXPECT_EQ(daemon.membership().upstream()->identity, "own");
}

// Guards against the use of an upstream that says in a response that it leaves, while reports
// from before arrive late.
TEST(NodeRuntime, UpstreamThatSaysThatItLeavesIsNotUsedAgain) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.RemoveUpstream(0);
  node_runtime& daemon = world.daemon(0);
  ASSERT_TRUE(daemon.OnAnnouncement(Announced("media", "own", 100, 1), world.now()));
  EXPECT_FALSE(daemon.admission().system().draining());
  upstream_notice leaving;
  leaving.is_leaving = true;
  daemon.OnUpstreamNotice(leaving, world.now());
  EXPECT_TRUE(daemon.admission().system().draining());
  for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
    EXPECT_FALSE(daemon.OnAnnouncement(Announced("media", "own", 100, sequence), world.now()));
    world.Advance(seconds(1));
    EXPECT_TRUE(daemon.admission().system().draining());
  }
  EXPECT_TRUE(daemon.OnAnnouncement(Announced("media", "own", 200, 1), world.now()));
  EXPECT_FALSE(daemon.admission().system().draining());
}

// Guards against a daemon that stays isolated after its clock went back across a restart while
// the log is unavailable: its peers dropped its datagrams as those of an earlier incarnation
// and sent no reply.
TEST(NodeRuntime, BumpsIncarnationWithoutTheLog) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.Stop(1);
  world.Advance(seconds(5));
  world.log.is_down = true;
  world.Restart(1, seconds(40));
  world.Advance(seconds(16));
  EXPECT_EQ(world.daemon(0).ServingMembers(), 2U);
  EXPECT_EQ(Outcome(world, 1), "complete");
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against sending calls and assigning keys to the daemon's own upstream after it stopped
// announcing itself: its slots appeared free, and every call wasted an attempt on it.
TEST(NodeRuntime, DoesNotUseUpstreamThatStoppedAnnouncing) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  EXPECT_EQ(Outcome(world, 0), "complete");
  world.RemoveUpstream(0);
  world.SetUpstream(0, upstream_mode::kConnectFails);
  world.Advance(seconds(15));
  const std::uint64_t refused = world.daemon(0).calls().owner().counters().refused;
  EXPECT_EQ(Outcome(world, 0), "complete");
  const std::string key = world.IssueKey(0);
  ASSERT_TRUE(ParseIssuedKey(key));
  EXPECT_EQ(ParseIssuedKey(key)->home.incarnation,
            world.daemon(1).membership().self().incarnation);
  EXPECT_EQ(world.daemon(0).calls().owner().counters().refused, refused);
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against an explanation without the candidates and their scores, or without the reason
// of the owner's refusal.
TEST(NodeRuntime, ExplainsCandidatesAndRefusals) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.RemoveUpstream(0);
  world.Advance(seconds(15));
  world.SetUpstream(1, upstream_mode::kConnectFails);
  call_id last;
  world.daemon(0).calls().SetCallObserver([&](const call_record& row) { last = row.id; });
  EXPECT_EQ(Outcome(world, 0), "upstream_connect_failed");
  const call_record* row = world.daemon(0).calls().entry().history().Find(last);
  ASSERT_NE(row, nullptr);
  const std::string text = ExplainCall(*row);
  for (const char* part : {"policy two_choices", "score ", "member 0000000000000002", "chosen",
                           "upstream_connect_failed (No connection to the upstream",
                           "no further attempt was possible", "already tried"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << '\n' << text;
  }
}

// Guards against a process that exits before its leave reaches the peers: an attempt in flight
// then found a closed port, and a protected call ended with execution unknown.
TEST(NodeRuntime, StopsOnlyAfterAttemptsInFlightEnd) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.RemoveUpstream(0);
  world.Advance(seconds(20));
  world.options.max_delay = milliseconds(100);
  world.Stop(1);
  for (int i = 0; i < 20; ++i) {
    world.Request(0, true, "", 1, seconds(1));
    world.Advance(milliseconds(5));
  }
  world.Advance(seconds(6));
  EXPECT_FALSE(world.IsAlive(1));
  for (std::size_t i = 0; i < 20; ++i) {
    const error_kind reported_kind = world.oracle.calls.at(i).reported;
    EXPECT_EQ(ErrorResponseFor(reported_kind).state, execution::kNotRun)
        << ErrorResponseFor(reported_kind).name;
  }
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against serving that depends on the log: during an hour without it, calls succeed, a
// daemon can restart, and the membership stays complete.
TEST(NodeRuntime, ServesForAnHourWithoutTheLog) {
  runtime_world world(4, {.tick = milliseconds(50)});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.log.is_down = true;
  for (int minute = 0; minute < 60; ++minute) {
    world.Advance(seconds(58));
    EXPECT_EQ(Outcome(world, minute % 4, minute % 2 == 0), "complete") << minute;
    if (minute == 30) {
      world.Kill(2);
      world.Restart(2);
      world.Advance(seconds(15));
      EXPECT_EQ(world.daemon(2).configuration().version(), 0);
    }
    EXPECT_EQ(world.daemon(0).ServingMembers(), 4U) << minute;
  }
  world.Settle();
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against daemons without a configuration that run a request or return no definite
// error: all daemons restart while the log is unavailable.
TEST(NodeRuntime, IsNotReadyAfterMassRestartWithoutTheLog) {
  runtime_world world(4, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.log.is_down = true;
  for (std::size_t i = 0; i < 4; ++i) world.Kill(i);
  for (std::size_t i = 0; i < 4; ++i) world.Restart(i);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(Outcome(world, i, true), "not_ready");
  world.Advance(seconds(60));
  EXPECT_EQ(Outcome(world, 1), "not_ready");
  world.Settle();
  EXPECT_EQ(Outcome(world, 1), "complete");
  EXPECT_EQ(world.oracle.Violations(), "");
}

}  // namespace
}  // namespace bronzeroute::tests
