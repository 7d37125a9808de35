#include <gtest/gtest.h>

#include <string>

#include "src/base/error_answer.h"
#include "src/calls/call_log.h"
#include "src/calls/issued_key.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

/// Sends one short request and runs until it is over.
std::string Outcome(runtime_world& world, std::size_t entry, bool is_protected = false,
                    const std::string& key = "", std::uint32_t caller_try = 1) {
  const auto request = world.Request(entry, is_protected, key, caller_try, seconds(1));
  world.Advance(seconds(2));
  if (!request) return "no entry";
  const auto& row = world.oracle.calls.at(*request);
  if (row.now == call_oracle::state::kComplete) return "complete";
  return std::string(AnswerFor(row.told).name);
}

// Guards against a daemon whose clock went back over a restart and which goes on under a number
// that its peers take for an earlier run: all their attempts were refused with
// wrong_incarnation, and its own with duplicate_attempt.
TEST(NodeRuntime, AdoptsTheRunThatMembershipRaised) {
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
  EXPECT_EQ(ParseIssuedKey(key)->home.run, world.daemon(1).membership().self().run);
  EXPECT_EQ(Outcome(world, 0, true, key), "complete");
  EXPECT_EQ(Outcome(world, 0, true, key, 2), "duplicate_key");
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against calls and keys that go to the daemon's own upstream after it is gone: its
// slots looked free, and every call lost an attempt on it.
TEST(NodeRuntime, UsesNoUpstreamThatIsGone) {
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
  EXPECT_EQ(ParseIssuedKey(key)->home.run, world.daemon(1).membership().self().run);
  EXPECT_EQ(world.daemon(0).calls().owner().counters().refused, refused);
  EXPECT_EQ(world.oracle.Violations(), "");
}

// Guards against an explanation without the candidates and their scores, and one that hides
// why the owner refused.
TEST(NodeRuntime, ExplainsCandidatesAndRefusals) {
  runtime_world world(2, {});
  ASSERT_TRUE(world.Publish());
  world.Advance(seconds(20));
  world.RemoveUpstream(0);
  world.Advance(seconds(15));
  world.SetUpstream(1, upstream_mode::kConnectFails);
  call_id last;
  world.daemon(0).calls().SetCallObserver([&](const call_log_row& row) { last = row.id; });
  EXPECT_EQ(Outcome(world, 0), "upstream_connect_failed");
  const call_log_row* row = world.daemon(0).calls().entry().log().Find(last);
  ASSERT_NE(row, nullptr);
  const std::string text = ExplainCall(*row);
  for (const char* part : {"policy two_choices", "score ", "member 0000000000000002", "chosen",
                           "upstream_connect_failed (No connection to the upstream",
                           "no further attempt was possible", "already tried"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << '\n' << text;
  }
}

}  // namespace
}  // namespace bronzeroute::tests
