#include "src/calls/owner_system.h"

#include <gtest/gtest.h>

#include "tests/calls/call_world.h"

namespace bronzeroute::tests {
namespace {

using world = call_world<call_rules>;
using std::chrono::seconds;

/// Node 0 is an entry without an upstream, node 1 an owner with one slot.
class OwnerSystemTest : public testing::Test {
 protected:
  OwnerSystemTest() : net_(2, {}) {
    net_.RemoveUpstream(0);
    net_.gate(1).slots = 1;
  }
  ~OwnerSystemTest() override {
    net_.Settle();
    EXPECT_EQ(net_.oracle.violations(), std::vector<std::string>());
  }
  std::size_t Send(bool is_protected, duration limit, const std::string& key = "",
                   std::uint32_t caller_try = 1) {
    return *net_.Request(0, is_protected, key, caller_try, limit);
  }
  const call_oracle::request& At(std::size_t index) { return net_.oracle.at(index); }

  world net_;
};

// Guards against a drain that aborts calls, and against one that never ends.
TEST_F(OwnerSystemTest, DrainFinishesRunningAndQueuedWork) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  const std::size_t running = Send(true, seconds(20));
  const std::size_t queued = Send(true, seconds(20));
  const std::size_t late = Send(true, seconds(20));
  net_.Advance(milliseconds(100));
  net_.Drain(1);
  EXPECT_FALSE(net_.node(1).IsIdle());
  const std::size_t refused = Send(true, seconds(20));
  net_.Advance(seconds(1));
  EXPECT_EQ(At(refused).reported, error_kind::kDraining);
  net_.Advance(seconds(3));
  EXPECT_EQ(At(running).now, call_oracle::state::kComplete);
  EXPECT_EQ(At(queued).now, call_oracle::state::kComplete);
  EXPECT_EQ(At(late).reported, error_kind::kDraining);
  EXPECT_TRUE(net_.node(1).IsIdle());
}

// Guards against a process that, resumed after a freeze, starts work whose entry may have given
// up.
TEST_F(OwnerSystemTest, FreezeRefusesQueuedWork) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  Send(true, seconds(20));
  const std::size_t queued = Send(true, seconds(20));
  net_.Advance(milliseconds(100));
  net_.Freeze(1, seconds(4));
  net_.Advance(seconds(5));
  EXPECT_EQ(At(queued).reported, error_kind::kOverloaded);
  EXPECT_EQ(net_.node(1).owner().counters().freezes, 1U);
}

// Guards against treating a short suspension as a freeze.
TEST_F(OwnerSystemTest, ShortPauseKeepsTheQueue) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  Send(true, seconds(20));
  const std::size_t queued = Send(true, seconds(20));
  net_.Advance(milliseconds(100));
  net_.Freeze(1, milliseconds(2900));
  net_.Advance(seconds(5));
  EXPECT_EQ(At(queued).now, call_oracle::state::kComplete);
}

// Guards against slots used for callers that have disconnected.
TEST_F(OwnerSystemTest, DisconnectedCallerFreesQueueEntryAndRepeatableWork) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  const std::size_t running = Send(false, seconds(20));
  const std::size_t queued = Send(false, seconds(20));
  net_.Advance(milliseconds(100));
  net_.DisconnectCaller(queued);
  net_.DisconnectCaller(running);
  net_.Advance(milliseconds(100));
  EXPECT_EQ(At(queued).runs, 0);
  EXPECT_TRUE(net_.node(1).IsIdle());
}

// Guards against cancelling running protected work, which would leave its key without a
// definite result.
TEST_F(OwnerSystemTest, ProtectedRequestFinishesWithoutItsCaller) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  const std::size_t first = Send(true, seconds(20), "order-1");
  net_.Advance(milliseconds(100));
  net_.DisconnectCaller(first);
  net_.Advance(milliseconds(100));
  const std::size_t early = Send(true, seconds(20), "order-1", 2);
  net_.Advance(seconds(3));
  const std::size_t later = Send(true, seconds(20), "order-1", 3);
  net_.Advance(seconds(1));
  EXPECT_EQ(At(early).reported, error_kind::kKeyInProgress);
  EXPECT_EQ(At(later).reported, error_kind::kDuplicateKey);
}

// Guards against an owner that relies on the entry's configuration, which may be older, when it
// accepts an attempt.
TEST_F(OwnerSystemTest, RefusesAttemptsOutsideTheRegionsOfItsOwnConfiguration) {
  net_.SetRegions(1, region_limit({"elsewhere"}));
  const std::size_t refused = Send(true, seconds(20));
  net_.Advance(seconds(1));
  EXPECT_EQ(At(refused).reported, error_kind::kOutsideRegions);
  EXPECT_EQ(At(refused).runs, 0);
}

// Guards against a new configuration that does not reach queued requests: the second one would
// start as soon as the first one ends.
TEST_F(OwnerSystemTest, NewConfigurationEndsQueuedWorkOutsideItsRegions) {
  net_.SetUpstream(1, upstream_mode::kSlow);
  const std::size_t running = Send(true, seconds(20));
  const std::size_t queued = Send(true, seconds(20));
  net_.Advance(milliseconds(100));
  net_.SetRegions(1, region_limit({"elsewhere"}));
  net_.Advance(milliseconds(100));
  EXPECT_EQ(At(queued).reported, error_kind::kOutsideRegions);
  net_.Advance(seconds(5));
  EXPECT_EQ(At(running).now, call_oracle::state::kComplete);
  EXPECT_EQ(At(queued).runs, 0);
}

struct ignores_regions : call_rules {
  static constexpr bool ChecksRegions() { return false; }
};

// Guards against the two tests above passing for another reason than the owner's check.
TEST(OwnerSystem, WithoutItsCheckOfRegionsTheWorkRuns) {
  call_world<ignores_regions> net(2, {});
  net.RemoveUpstream(0);
  net.SetRegions(1, region_limit({"elsewhere"}));
  const std::size_t sent = *net.Request(0, true, "", 1, seconds(20));
  net.Advance(seconds(1));
  EXPECT_EQ(net.oracle.at(sent).runs, 1);
}

// Guards against work that hangs at the upstream and is never removed.
TEST_F(OwnerSystemTest, HangingWorkIsCancelledAfterItsDeadline) {
  net_.StallUpstream(1, std::chrono::hours(1));
  Send(true, seconds(1));
  Send(false, seconds(1));
  net_.Advance(seconds(10));
  EXPECT_FALSE(net_.node(1).IsIdle());
  net_.Advance(seconds(2));
  EXPECT_TRUE(net_.node(1).IsIdle());
}

}  // namespace
}  // namespace bronzeroute::tests
