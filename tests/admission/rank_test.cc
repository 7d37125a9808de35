#include <gtest/gtest.h>

#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

using testing::InSequence;

class RankTest : public admission_fixture {
 protected:
  static attempt_head Ranked(std::uint32_t priority) {
    attempt_head head = Read(At(seconds(10)));
    head.priority = priority;
    head.route_id = 1 + priority;
    return head;
  }
  void FillSlots() {
    for (std::uint64_t id = 1; id <= 6; ++id) {
      ASSERT_EQ(Submit(id, Ranked(1)).state, submit_state::kStarted);
    }
  }
};

// Guards against a call that waits behind work of a lower priority.
TEST_F(RankTest, HigherRankLeavesTheQueueFirst) {
  FillSlots();
  EXPECT_EQ(Submit(11, Ranked(2)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(12, Ranked(1)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(13, Ranked(0)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(14, Ranked(1)).state, submit_state::kQueued);
  const InSequence order;
  for (const std::uint64_t id : {13, 12, 14, 11}) {
    EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{id}));
  }
  for (std::uint64_t id = 1; id <= 4; ++id) {
    Complete(id, milliseconds(5));
  }
}

// Guards against a route's priority that outweighs the priority of the account.
TEST_F(RankTest, PriorityOfTheAccountIsComparedFirst) {
  FillSlots();
  const auto head = [](std::uint32_t account, std::uint32_t route) {
    attempt_head result = Ranked(route);
    result.account_priority = account;
    return result;
  };
  EXPECT_EQ(Submit(11, head(2, 0)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(12, head(1, 2)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(13, head(1, 1)).state, submit_state::kQueued);
  EXPECT_EQ(Submit(14, head(0, 9)).state, submit_state::kQueued);
  const InSequence order;
  for (const std::uint64_t id : {14, 13, 12, 11}) {
    EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{id}));
  }
  for (std::uint64_t id = 1; id <= 4; ++id) Complete(id, milliseconds(5));
}

// Guards against work that waits behind work of the same priority that may start later.
TEST_F(RankTest, WithinARankTheEarliestLatestStartLeavesFirst) {
  Observe("/orders/read", milliseconds(20), 30);
  FillSlots();
  attempt_head patient = Ranked(1);
  patient.objective = At(seconds(1));
  attempt_head urgent = Ranked(1);
  urgent.objective = At(milliseconds(150));
  EXPECT_EQ(Submit(11, patient).state, submit_state::kQueued);
  EXPECT_EQ(Submit(12, patient).state, submit_state::kQueued);
  EXPECT_EQ(Submit(13, urgent).state, submit_state::kQueued);
  const InSequence order;
  for (const std::uint64_t id : {13, 11, 12}) {
    EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{id}));
  }
  for (std::uint64_t id = 1; id <= 3; ++id) Complete(id, milliseconds(5));
}

// Guards against a slot used for a response that misses its objective while other work is still
// in time. A free slot is used nevertheless.
TEST_F(RankTest, WorkThatWouldMissItsObjectiveIsNotQueued) {
  attempt_head late = Ranked(1);
  late.objective = At(milliseconds(1));
  EXPECT_EQ(Submit(1, late).state, submit_state::kStarted);
  for (std::uint64_t id = 2; id <= 6; ++id) Submit(id, Ranked(1));
  const submit_result refused = Submit(11, late);
  EXPECT_EQ(refused.state, submit_state::kRefused);
  EXPECT_EQ(refused.kind, error_kind::kDeadlineTooShort);
  attempt_head in_time = Ranked(1);
  in_time.objective = At(seconds(1));
  EXPECT_EQ(Submit(12, in_time).state, submit_state::kQueued);
}

// Guards against a queue whose oldest work is late and starts first, so that all work behind it
// becomes late too.
TEST_F(RankTest, LateWorkStartsAfterWorkThatIsInTime) {
  Observe("/orders/read", milliseconds(20), 30);
  FillSlots();
  attempt_head early = Ranked(1);
  early.objective = At(milliseconds(60));
  ASSERT_EQ(Submit(11, early).state, submit_state::kQueued);
  attempt_head in_time = Ranked(2);
  in_time.objective = At(milliseconds(350));
  ASSERT_EQ(Submit(12, in_time).state, submit_state::kQueued);
  const InSequence order;
  for (const std::uint64_t id : {12, 11}) {
    EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{id}));
  }
  for (std::uint64_t id = 1; id <= 2; ++id) {
    Complete(id, milliseconds(5), At(milliseconds(50)));
  }
}

// Guards against refusing a call made by running work although its response could still be
// used: that work would fail too.
TEST_F(RankTest, NestedCallMayWaitUpToItsDeadline) {
  for (std::uint64_t id = 1; id <= 6; ++id) Submit(id, Ranked(1));
  attempt_head call = Ranked(1);
  call.objective = At(milliseconds(1));
  call.depth = 1;
  EXPECT_EQ(Submit(11, call).state, submit_state::kQueued);
  call.deadline = At(milliseconds(1));
  EXPECT_EQ(Submit(12, call).kind, error_kind::kDeadlineTooShort);
}

// Guards against an owner that has just started, has observed no service times, and fills its
// queue with work that will finish too late.
TEST_F(RankTest, WithoutObservationsAShareOfTheObjectiveIsAssumed) {
  const auto in = [](duration objective) {
    attempt_head head = Ranked(1);
    head.objective = At(objective);
    return head;
  };
  for (std::uint64_t id = 1; id <= 6; ++id) Submit(id, in(milliseconds(200)));
  std::uint64_t queued = 0;
  while (Submit(100 + queued, in(milliseconds(200))).state == submit_state::kQueued) ++queued;
  // Six slots turn over every 50 ms: the last one to be in time starts after 150 ms.
  EXPECT_GE(queued, 4U);
  EXPECT_LE(queued, 18U);
}

// Guards against using all slots of an upstream that slows down when they are all in use.
TEST_F(RankTest, EffectiveSlotsAreTheConfiguredShare) {
  service_spec spec = OrdersSpec();
  for (const auto& [share, slots] : {std::pair{0.8, 4U}, {0.5, 3U}, {0.1, 1U}, {1.0, 6U}}) {
    spec.slot_share = share;
    system_.Configure(spec, 6, 20, At({}));
    EXPECT_EQ(system_.EffectiveSlots(At({})), slots) << share;
  }
  spec.max_slots = 5;
  spec.slot_share = 0.8;
  system_.Configure(spec, 5, 20, At({}));
  EXPECT_EQ(system_.EffectiveSlots(At({})), 4U);
}

}  // namespace
}  // namespace bronzeroute
