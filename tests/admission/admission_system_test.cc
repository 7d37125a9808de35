#include "src/admission/admission_system.h"

#include <gtest/gtest.h>

#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

// Guards against more running work than the upstream has slots, and against queued work that is
// never started.
TEST_F(admission_fixture, QueuesAboveTheSlotsAndStartsWhenOneIsFree) {
  Fill(1, 6);
  EXPECT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{7}));
  Complete(1, milliseconds(5));
  EXPECT_EQ(system_.running(), 6);
}

// Guards against exceeding the connection limit when it is below the slots.
TEST_F(admission_fixture, ConnectionsLimitRunningWork) {
  system_.Configure(OrdersSpec(), 6, 2, At({}));
  Fill(1, 2);
  EXPECT_EQ(Submit(3, Read(At(seconds(1)))).state, submit_state::kQueued);
}

// Guards against running one attempt twice after a duplicated message.
TEST_F(admission_fixture, RefusesAnExchangeThatIsQueuedOrRunning) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_EQ(Submit(1, Read(At(seconds(1)))).kind, error_kind::kDuplicateAttempt);
  EXPECT_EQ(Submit(7, Read(At(seconds(1)))).kind, error_kind::kDuplicateAttempt);
}

// Guards against work that reaches this upstream though it is for another service, or before a
// configuration was received.
TEST_F(admission_fixture, RefusesWithoutConfigurationAndForAnotherService) {
  attempt_head head = Read(At(seconds(1)));
  EXPECT_EQ(admission_system(&listener_).Submit(exchange_id{1}, head, At({})).kind,
            error_kind::kNotReady);
  head.service = "stock";
  EXPECT_EQ(Submit(1, head).kind, error_kind::kWrongService);
}

// Guards against queueing a request whose response would come after its deadline.
TEST_F(admission_fixture, RefusesWhenStartPlusServiceTimeMissesTheDeadline) {
  Observe("/orders/read", milliseconds(60), 30);
  Fill(1, 6);
  // Expected start 10 ms (60 ms / 6 slots), end 70 ms.
  EXPECT_EQ(Submit(7, Read(At(milliseconds(70)))).kind, error_kind::kDeadlineTooShort);
  EXPECT_EQ(Submit(8, Read(At(milliseconds(71)))).state, submit_state::kQueued);
  EXPECT_EQ(Submit(9, Read(At(milliseconds(80)))).kind, error_kind::kDeadlineTooShort);
}

// Guards against a mean service time above every deadline that refuses all work, so that it is
// never corrected by new observations.
TEST_F(admission_fixture, FreeSlotIsUsedEvenIfTheMeanExceedsTheDeadline) {
  Observe("/orders/read", seconds(10), 30);
  EXPECT_EQ(Submit(1, Read(At(milliseconds(100)))).state, submit_state::kStarted);
  EXPECT_EQ(Submit(2, Read(At({}))).kind, error_kind::kDeadlineTooShort);
}

// Guards against work that runs several times as long as it would at another upstream, and
// against refusing it where there is no other.
TEST_F(admission_fixture, RefusesWhileTheUpstreamIsSlowIfAnotherOwnerCostsLess) {
  Observe("/orders/read", milliseconds(50), 30);
  attempt_head head = Read(At(seconds(1)));
  head.other_cost = milliseconds(3);
  system_.SetServiceTimePercent(400, At({}));
  EXPECT_EQ(Submit(1, head).kind, error_kind::kUpstreamSlow);
  EXPECT_EQ(Submit(2, Read(At(seconds(1)))).state, submit_state::kStarted);
  // 150 ms of additional service time here, 200 ms of additional cost at the other owner.
  head.other_cost = milliseconds(200);
  EXPECT_EQ(Submit(4, head).state, submit_state::kStarted);
  system_.SetServiceTimePercent(100, At({}));
  EXPECT_EQ(Submit(3, head).state, submit_state::kStarted);
}

// Guards against an upstream that gets no work any more, and so never reports that it is back
// to its usual service time.
TEST_F(admission_fixture, AcceptsWorkOnceTheServiceTimePercentExpires) {
  Observe("/orders/read", milliseconds(50), 30);
  attempt_head head = Read(At(seconds(2)));
  head.other_cost = milliseconds(3);
  system_.SetServiceTimePercent(400, At({}));
  EXPECT_EQ(Submit(1, head, At(milliseconds(100))).kind, error_kind::kUpstreamSlow);
  EXPECT_EQ(Submit(1, head, At(milliseconds(200))).state, submit_state::kStarted);
}

// Guards against a caller that waits for queued work whose deadline has passed.
TEST_F(admission_fixture, TickRefusesQueuedWorkAtItsDeadline) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(milliseconds(50)))).state, submit_state::kQueued);
  system_.Tick(At(milliseconds(49)));
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{7}, error_kind::kQueueTimeout));
  system_.Tick(At(milliseconds(50)));
  EXPECT_EQ(system_.queued(), 0);
}

// Guards against late work at the upstream: the slot must go to queued work that is still in
// time.
TEST_F(admission_fixture, FreedSlotSkipsExpiredWork) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(milliseconds(50)))).state, submit_state::kQueued);
  ASSERT_EQ(Submit(8, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{7}, error_kind::kQueueTimeout));
  EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{8}));
  Complete(1, milliseconds(60), At(milliseconds(60)));
}

// Guards against short work that is blocked because long work holds all slots.
TEST_F(admission_fixture, LongWorkHoldsAtMostItsShare) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    EXPECT_EQ(Submit(i, Photos(At(seconds(60)))).state, submit_state::kStarted);
  }
  EXPECT_EQ(Submit(4, Photos(At(seconds(60)))).state, submit_state::kQueued);
  Fill(5, 3);
  EXPECT_EQ(system_.running_long(), 3);
}

// Guards against a long share that rounds to no slot for long work or to none for short work.
TEST_F(admission_fixture, LongLimitLeavesOneSlotForEachClass) {
  service_spec spec = OrdersSpec();
  spec.long_share = 0.01;
  system_.Configure(spec, 6, 20, At({}));
  EXPECT_EQ(system_.LongLimit(At({})), 1);
  spec.long_share = 1;
  system_.Configure(spec, 6, 20, At({}));
  EXPECT_EQ(system_.LongLimit(At({})), 5);
  system_.Configure(spec, 1, 20, At({}));
  EXPECT_EQ(system_.LongLimit(At({})), 1);
}

// Guards against long work that uses the connections reserved for short work.
TEST_F(admission_fixture, LongWorkLeavesReservedConnections) {
  system_.Configure(OrdersSpec(), 6, 3, At({}));
  EXPECT_EQ(Submit(1, Photos(At(seconds(60)))).state, submit_state::kStarted);
  EXPECT_EQ(Submit(2, Photos(At(seconds(60)))).state, submit_state::kQueued);
}

// Guards against long work that is not marked as such by its route.
TEST_F(admission_fixture, LargeOrUnknownBodiesAreLong) {
  attempt_head head = Read(At(seconds(60)));
  head.content_length = (1 << 20) + 1;
  EXPECT_TRUE(Submit(1, head).is_long);
  head.content_length.reset();
  EXPECT_FALSE(Submit(2, head).is_long) << "unknown length on a route marked short";
  head.path = "/orders/other";
  EXPECT_TRUE(Submit(3, head).is_long);
}

// Guards against a class at the owner that differs from that at the entry, for a path that only
// shares its first letters with a long route or has a doubled slash.
TEST_F(admission_fixture, RoutesMatchAsAtTheEntry) {
  EXPECT_FALSE(Submit(1, Head("/orders/photos2", At(seconds(9)))).is_long);
  EXPECT_TRUE(Submit(2, Head("/orders//photos/7", At(seconds(9)))).is_long);
}

// Guards against a costly route that is configured as short and blocks short work.
TEST_F(admission_fixture, RouteTenTimesAsExpensiveCountsAsLong) {
  Observe("/orders/read", milliseconds(2), 20);
  Observe("/orders/sum", milliseconds(19), 20);
  EXPECT_FALSE(Submit(1, Head("/orders/sum", At(seconds(9)))).is_long);
  Complete(1, milliseconds(19));
  Observe("/orders/sum", milliseconds(30), 60);
  EXPECT_TRUE(Submit(2, Head("/orders/sum", At(seconds(9)))).is_long);
  Complete(2, milliseconds(3));
  Observe("/orders/sum", milliseconds(3), 60);
  EXPECT_FALSE(Submit(3, Head("/orders/sum", At(seconds(9)))).is_long)
      << "its mean service time fell again";
}

// Guards against refusing short work while long work is queued, against refusing the work that
// could still be served in time, and against refused work that is queued at the next owner.
TEST_F(admission_fixture, FullQueueRefusesLongWorkFirstThenTheLeastRemainingTime) {
  Fill(1, 5);
  ASSERT_EQ(Submit(6, Photos(At(seconds(60)))).state, submit_state::kStarted);
  ASSERT_EQ(Submit(7, Photos(At(seconds(60)))).state, submit_state::kQueued);
  for (std::uint64_t i = 10; i < 18; ++i) {
    ASSERT_EQ(Submit(i, Read(At(milliseconds(500 + i)))).state, submit_state::kQueued);
  }
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{7}, error_kind::kOverloaded));
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{10}, error_kind::kQueueTimeout));
  EXPECT_EQ(Submit(20, Read(At(milliseconds(600)))).state, submit_state::kQueued);
  EXPECT_EQ(Submit(21, Read(At(milliseconds(100)))).kind, error_kind::kOverloaded);
  EXPECT_EQ(Submit(22, Photos(At(seconds(60)))).kind, error_kind::kOverloaded);
}

// Guards against an upstream that gets its full load before it has warmed up.
TEST_F(admission_fixture, WarmupRaisesTheSlotsFromOneToAll) {
  service_spec spec = OrdersSpec();
  spec.name = "cold";
  spec.warmup = seconds(10);
  system_.Configure(spec, 6, 20, At({}));
  EXPECT_EQ(system_.EffectiveSlots(At({})), 1);
  EXPECT_EQ(system_.LongLimit(At({})), 0);
  EXPECT_EQ(system_.EffectiveSlots(At(seconds(5))), 3);
  system_.Configure(spec, 6, 20, At(seconds(5)));
  EXPECT_EQ(system_.EffectiveSlots(At(seconds(5))), 3)
      << "a new configuration must not restart the warm-up";
  EXPECT_EQ(system_.EffectiveSlots(At(seconds(10))), 6);
  system_.OnUpstreamReplaced(At(seconds(20)));
  EXPECT_EQ(system_.EffectiveSlots(At(seconds(20))), 1);
}

// Guards against idle slots beside refused work: a deployment that starts again as a whole has
// only cold upstreams, and the load of before. Requests of 200 ms come every 10 ms, with 1 s
// each.
TEST_F(admission_fixture, ColdUpstreamWithoutConfiguredWarmupUsesAllItsSlots) {
  system_.SetWarmAt(At(seconds(3)), At({}));
  EXPECT_EQ(system_.EffectiveSlots(At({})), 6);
  int refused = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    const duration now = milliseconds(10 * id);
    if (id > 20) Complete(id - 20, milliseconds(200), At(now));
    if (id % 4 != 1) continue;
    refused += Submit(id, Read(At(now + seconds(1))), At(now)).state == submit_state::kRefused;
  }
  EXPECT_EQ(refused, 0);
}

// Guards against new work at an upstream that drains, and against queued work that gets no end.
TEST_F(admission_fixture, DrainRefusesQueuedAndNewWork) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{7}, error_kind::kDraining));
  system_.Drain(At({}));
  EXPECT_EQ(Submit(8, Read(At(seconds(1)))).kind, error_kind::kDraining);
  Complete(1, milliseconds(5));
  EXPECT_EQ(system_.running(), 5);
  EXPECT_TRUE(system_.Hint(At({})).draining);
}

// Guards against work that runs although its caller gave up while the process was suspended.
TEST_F(admission_fixture, FreezeRefusesAllQueuedWork) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  ASSERT_EQ(Submit(8, Read(At(seconds(9)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{7}, error_kind::kQueueTimeout));
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{8}, error_kind::kOverloaded));
  system_.OnFreeze(At(seconds(4)));
}

// Guards against a cancelled request that runs, and against a slot freed before the upstream
// has finished.
TEST_F(admission_fixture, CancelRemovesQueuedWorkAndKeepsTheSlotOfRunningWork) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_EQ(system_.Cancel(exchange_id{7}, At({})), cancel_result::kRemovedFromQueue);
  EXPECT_EQ(system_.Cancel(exchange_id{7}, At({})), cancel_result::kUnknown);
  EXPECT_EQ(system_.Cancel(exchange_id{1}, At({})), cancel_result::kRunning);
  EXPECT_EQ(system_.running(), 6);
  End(1, upstream_result::kCancelled, milliseconds(1));
  EXPECT_EQ(system_.running(), 5);
}

// Guards against an upstream that fails fast and so attracts all work, and against protected
// work that is used as the trial of an ejected upstream at once.
TEST_F(admission_fixture, EjectsAfterFiveFailuresAndReturnsThroughOneTrial) {
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{7}));
  for (std::uint64_t i = 1; i <= 4; ++i) End(i, upstream_result::kFailed, duration(50));
  EXPECT_FALSE(system_.Hint(At({})).failing);
  End(5, upstream_result::kFailed, duration(50));
  EXPECT_TRUE(system_.Hint(At({})).failing);
  EXPECT_EQ(Submit(8, Read(At(seconds(9))), At(milliseconds(999))).kind,
            error_kind::kUpstreamEjected);
  attempt_head head = Read(At(seconds(9)));
  head.is_protected = true;
  EXPECT_EQ(Submit(9, head, At(seconds(1))).kind, error_kind::kUpstreamEjected);
  EXPECT_EQ(Submit(10, Read(At(seconds(9))), At(seconds(1))).state, submit_state::kStarted);
  EXPECT_EQ(Submit(11, Read(At(seconds(9))), At(seconds(1))).kind,
            error_kind::kUpstreamEjected);
  End(10, upstream_result::kFailed, duration(50), At(seconds(1)));
  EXPECT_EQ(system_.health(At(milliseconds(2999))), ejection_state::kEjected)
      << "the second ejection lasts 2 s";
  EXPECT_EQ(Submit(12, Read(At(seconds(9))), At(seconds(3))).state, submit_state::kStarted);
  Complete(12, milliseconds(5), At(seconds(3)));
  EXPECT_FALSE(system_.Hint(At(seconds(3))).failing);
}

// Guards against an upstream with protected work only that is refused for good after failures:
// no other work came that could have been the trial.
TEST_F(admission_fixture, ProtectedWorkIsTheTrialOnceNoOtherWorkWasForASecond) {
  Fill(1, 6);
  for (std::uint64_t i = 1; i <= 5; ++i) End(i, upstream_result::kFailed, duration(50));
  attempt_head order = Read(At(seconds(90)));
  order.is_protected = true;
  EXPECT_EQ(Submit(7, order, At(milliseconds(1999))).kind, error_kind::kUpstreamEjected);
  EXPECT_EQ(Submit(8, order, At(seconds(2))).state, submit_state::kStarted);
  EXPECT_EQ(Submit(9, order, At(seconds(2))).kind, error_kind::kUpstreamEjected)
      << "one trial at a time";
  End(8, upstream_result::kFailed, duration(50), At(seconds(2)));
  EXPECT_EQ(Submit(10, order, At(milliseconds(4999))).kind, error_kind::kUpstreamEjected)
      << "the second ejection lasts 2 s";
  EXPECT_EQ(Submit(11, order, At(seconds(5))).state, submit_state::kStarted);
  Complete(11, milliseconds(5), At(seconds(5)));
  EXPECT_FALSE(system_.Hint(At(seconds(5))).failing);
  EXPECT_EQ(Submit(12, order, At(seconds(5))).state, submit_state::kStarted);
}

// Guards against entries that keep an old hint, and against failed requests that lower the mean
// service time.
TEST_F(admission_fixture, HintShowsExactStateWithRisingSequence) {
  Observe("/orders/read", milliseconds(4), 20);
  Fill(1, 6);
  ASSERT_EQ(Submit(7, Read(At(seconds(1)))).state, submit_state::kQueued);
  EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{7}));
  End(1, upstream_result::kFailed, duration(50));
  const load_hint first = system_.Hint(At({}));
  EXPECT_EQ(first.effective_slots, 6);
  EXPECT_EQ(first.in_use, 6);
  EXPECT_EQ(first.queued_short, 0);
  EXPECT_EQ(first.service_time_us, 4000);
  EXPECT_GT(system_.Hint(At({})).sequence, first.sequence);
}

}  // namespace
}  // namespace bronzeroute
