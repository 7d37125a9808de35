#include "src/calls/entry_system.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "src/calls/caller_port.h"
#include "src/calls/issued_key.h"
#include "src/calls/local_owner.h"
#include "src/calls/member_directory.h"
#include "src/calls/owner_message_identity.h"
#include "src/calls/peer_port.h"
#include "src/calls/route_directory.h"
#include "src/calls/upstream_chooser.h"
#include "src/calls/usage_gate.h"
#include "src/routing/choice_request.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {
namespace {

// Version of the configuration in effect.
constexpr std::int64_t kVersion = 12;

using testing::_;
using testing::Field;
using testing::NiceMock;
using testing::Return;

struct mock_callers : caller_port {
  MOCK_METHOD(void, SetAccount, (exchange_id, std::string_view), (override));
  MOCK_METHOD(void, RespondWithError, (exchange_id, const call_id&, error_kind, int, duration),
              (override));
  MOCK_METHOD(void, RelayResponse, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, AbortResponse, (exchange_id), (override));
};
struct mock_peers : peer_port {
  MOCK_METHOD(bool, IsReady, (member_id, bool), (override));
  MOCK_METHOD(bool, SendAttempt, (exchange_id, const attempt_head&), (override));
  MOCK_METHOD(void, CancelAttempt, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, AdmitAttempt, (exchange_id, const load_hint&), (override));
  MOCK_METHOD(void, RefuseAttempt, (exchange_id, error_kind, int, const load_hint&),
              (override));
  MOCK_METHOD(void, RelayToEntry, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, FinishAttempt, (exchange_id, bool, const load_hint&), (override));
};
struct mock_local : local_owner {
  MOCK_METHOD(bool, HasFreeSlot, (std::string_view, bool, time_point), (override));
  MOCK_METHOD(void, OnLocalAttempt, (exchange_id, const attempt_head&, time_point), (override));
  MOCK_METHOD(void, OnLocalCancel, (exchange_id, time_point), (override));
};
/// Chooses the members 2 to 9 in order, all in region "north", and has one service "orders".
struct fake_surroundings : upstream_chooser, member_directory, route_directory {
  std::optional<member_target> Choose(std::string_view, const choice_request& request,
                                      std::span<const member_id> excluded,
                                      time_point) override {
    if (!request.regions.Allows("north")) return std::nullopt;
    return excluded.size() < 8 ? std::optional(Member(2 + excluded.size())) : std::nullopt;
  }
  void OnHint(member_target, const load_hint&, time_point) override {}
  void OnNewerIncarnation(member_target owner) override { later_incarnations.push_back(owner); }
  void OnKeyIssued(member_target, time_point) override {}
  void OnAttemptSent(member_target, time_point) override { ++open; }
  void OnAttemptEnded(member_target, attempt_outcome, time_point) override { --open; }
  std::vector<member_target> LiveMembers(std::string_view,
                                         const region_limit& regions) override {
    if (!regions.Allows("north")) return {};
    return {Member(2)};
  }
  region_limit RegionsOf(std::uint64_t, std::string_view) const override {
    return current_regions;
  }
  route_decision Find(const caller_request& request) override {
    if (!request.path.starts_with("/orders")) {
      route_decision unknown;
      unknown.error = error_kind::kUnknownService;
      unknown.config_version = kVersion;
      return unknown;
    }
    return {.service = "orders",
            .is_protected = request.path == "/orders/new",
            .is_marked_short = request.path == "/orders/new",
            .time_limit = std::chrono::seconds(1),
            .has_accounts = has_accounts,
            .account = account,
            .regions = route_regions};
  }
  static member_target Member(std::uint64_t id) {
    return {member_id{id}, incarnation_id{10 * id}};
  }
  bool has_accounts = false;
  int open = 0;
  std::string account;
  /// Regions of the route when a request arrives, and of the configuration in effect later.
  region_limit route_regions;
  region_limit current_regions;
  std::vector<member_target> later_incarnations;
};

class EntrySystemTest : public testing::Test {
 protected:
  EntrySystemTest() {
    ON_CALL(peers_, SendAttempt).WillByDefault([this](exchange_id, const attempt_head& head) {
      sent_.push_back(head);
      return true;
    });
  }
  ~EntrySystemTest() override {
    EXPECT_EQ(surroundings_.open, static_cast<int>(entry_.open_attempts()));
  }

  static caller_request Request(const char* path = "/orders/new") {
    caller_request request;
    request.exchange = exchange_id{5};
    request.method = "POST";
    request.path = path;
    request.content_length = 10;
    return request;
  }
  owner_message_identity Last() const {
    const attempt_head& head = sent_.back();
    return {head.id, head.target, head.target_incarnation};
  }
  void ExpectError(error_kind kind) {
    EXPECT_CALL(callers_, RespondWithError(exchange_id{5}, _, kind, _, _))
        .RetiresOnSaturation();
  }
  void Refuse(error_kind kind) { entry_.OnAttemptRefused(Last(), kind, 0, {}, kNow); }

  static constexpr time_point kNow = time_point{} + std::chrono::hours(1);
  NiceMock<mock_callers> callers_;
  NiceMock<mock_peers> peers_;
  NiceMock<mock_local> local_;
  fake_surroundings surroundings_;
  std::vector<attempt_head> sent_;
  entry_system entry_{{member_id{1}, incarnation_id{10}, kNow, "south"},
                      callers_,
                      peers_,
                      local_,
                      surroundings_,
                      surroundings_,
                      surroundings_,
                      1};
};

// Guards against an attempt that leaves with the caller's key, and against a request whose
// fields are changed although the configuration has no accounts.
TEST_F(EntrySystemTest, AccountIsSetBeforeTheFirstAttempt) {
  EXPECT_CALL(callers_, SetAccount).Times(0);
  entry_.OnCallerRequest(Request(), kNow);
  surroundings_.has_accounts = true;
  surroundings_.account = "alpha";
  testing::Mock::VerifyAndClearExpectations(&callers_);
  const testing::InSequence order;
  caller_request request = Request();
  request.exchange = exchange_id{6};
  EXPECT_CALL(callers_, SetAccount(exchange_id{6}, std::string_view("alpha")));
  EXPECT_CALL(peers_, SendAttempt(exchange_id{6}, Field(&attempt_head::account, "alpha")))
      .WillOnce(Return(true));
  entry_.OnCallerRequest(request, kNow);
}

// Guards against a bad request that reaches an owner or gets an unclear error.
TEST_F(EntrySystemTest, RefusesBadRequestsByKind) {
  EXPECT_CALL(peers_, SendAttempt).Times(0);
  auto expect = [&](error_kind kind, auto change) {
    caller_request request = Request();
    change(request);
    ExpectError(kind);
    entry_.OnCallerRequest(request, kNow);
  };
  expect(error_kind::kTooDeep, [](auto& request) { request.depth = 10; });
  expect(error_kind::kBadHeader, [](auto& request) { request.caller_try = 0; });
  expect(error_kind::kFieldTooLarge, [](auto& request) { request.key.assign(256, 'k'); });
  expect(error_kind::kBadKey, [](auto& request) { request.key = "br1.mine"; });
  expect(error_kind::kUnknownService, [](auto& request) { request.path = "/nothing?a"; });
  expect(error_kind::kDeadlineTooShort, [](auto& request) { request.deadline = kNow; });
  EXPECT_TRUE(entry_.IsIdle());
}

// Guards against a record that hides which version had no route for a request.
TEST_F(EntrySystemTest, RefusalForLackOfARouteNamesTheVersion) {
  caller_request request = Request();
  request.path = "/nothing";
  ExpectError(error_kind::kUnknownService);
  const call_id id = entry_.OnCallerRequest(request, kNow);
  EXPECT_EQ(entry_.history().Find(id)->config_version, kVersion);
}

// Guards against an extra hop, and against waiting in another queue, while the own upstream has
// a free slot.
TEST_F(EntrySystemTest, OwnUpstreamIsUsedFirstIfItHasAFreeSlot) {
  ON_CALL(local_, HasFreeSlot).WillByDefault(Return(true));
  EXPECT_CALL(local_,
              OnLocalAttempt(exchange_id{5}, Field(&attempt_head::target, member_id{1}), _));
  EXPECT_CALL(peers_, SendAttempt).Times(0);
  entry_.OnCallerRequest(Request(), kNow);
}

// Guards against work at the own upstream in a region that the route does not allow, and
// against a body sent to another region.
TEST_F(EntrySystemTest, OwnUpstreamOutsideTheRegionsIsNotUsed) {
  ON_CALL(local_, HasFreeSlot).WillByDefault(Return(true));
  EXPECT_CALL(local_, OnLocalAttempt).Times(0);
  surroundings_.route_regions = region_limit({"north"});
  entry_.OnCallerRequest(Request(), kNow);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.back().target, member_id{2});
  caller_request second = Request();
  second.exchange = exchange_id{6};
  surroundings_.route_regions = region_limit({"east"});
  EXPECT_CALL(callers_, RespondWithError(exchange_id{6}, _, error_kind::kOutsideRegions, _, _));
  entry_.OnCallerRequest(second, kNow);
  surroundings_.route_regions = region_limit(std::vector<std::string>());
  EXPECT_CALL(callers_, RespondWithError(exchange_id{6}, _, error_kind::kOutsideRegions, _, _));
  entry_.OnCallerRequest(second, kNow);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a further attempt in a region that a newer configuration no longer allows.
TEST_F(EntrySystemTest, FurtherAttemptsFollowTheConfigurationInEffect) {
  surroundings_.route_regions = region_limit({"north", "south"});
  entry_.OnCallerRequest(Request(), kNow);
  surroundings_.current_regions = region_limit({"south"});
  ExpectError(error_kind::kOverloaded);
  Refuse(error_kind::kOverloaded);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a request that follows a restarted owner without a check of its region.
TEST_F(EntrySystemTest, RestartedOwnerOutsideTheRegionsGetsNoCall) {
  surroundings_.route_regions = region_limit({"north"});
  entry_.OnCallerRequest(Request(), kNow);
  surroundings_.current_regions = region_limit({"south"});
  owner_message_identity from = Last();
  ++from.owner_incarnation.value;
  ExpectError(error_kind::kWrongIncarnation);
  entry_.OnAttemptRefused(from, error_kind::kWrongIncarnation, 0, {}, kNow);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against keys that carry a request to a home outside its regions, and against the
// statement "not run" for a later try, whose first try may have run there.
TEST_F(EntrySystemTest, KeysDoNotLeaveTheRegions) {
  surroundings_.route_regions = region_limit({"south"});
  caller_request request = Request();
  for (const std::string& key :
       {std::string("own"), FormatIssuedKey({fake_surroundings::Member(2), 1, 1})}) {
    request.key = key;
    request.caller_try = 1;
    ExpectError(error_kind::kOutsideRegions);
    entry_.OnCallerRequest(request, kNow);
    request.caller_try = 2;
    ExpectError(error_kind::kKeyUnknown);
    entry_.OnCallerRequest(request, kNow);
  }
  EXPECT_TRUE(sent_.empty());
}

// Guards against the loss of a region that is reported as a broken link.
TEST_F(EntrySystemTest, UnreachableRegionIsReportedAsOutsideRegions) {
  surroundings_.route_regions = region_limit({"north"});
  EXPECT_CALL(peers_, SendAttempt).Times(8).WillRepeatedly(Return(false));
  ExpectError(error_kind::kOutsideRegions);
  entry_.OnCallerRequest(Request(), kNow);
}

// Guards against calls that are refused until the membership view shows the restart of an
// owner, and against a call that is sent again after restarts without a limit.
TEST_F(EntrySystemTest, RestartedOwnersGetTheCallAtTheirLaterIncarnation) {
  entry_.OnCallerRequest(Request("/orders/1"), kNow);
  for (std::uint64_t restarts = 1; restarts <= 3; ++restarts) {
    owner_message_identity from = Last();
    from.owner_incarnation.value += restarts;
    entry_.OnAttemptRefused(from, error_kind::kWrongIncarnation, 0, {}, kNow);
    ASSERT_EQ(surroundings_.later_incarnations.size(), restarts);
    EXPECT_EQ(surroundings_.later_incarnations.back().id, from.owner);
    EXPECT_EQ(surroundings_.later_incarnations.back().incarnation, from.owner_incarnation);
    ASSERT_EQ(sent_.size(), 1 + restarts);
    EXPECT_EQ(sent_.back().target, from.owner);
    EXPECT_EQ(sent_.back().target_incarnation, from.owner_incarnation);
  }
  for (int refusals = 0; refusals < 3; ++refusals) {
    if (refusals == 2) ExpectError(error_kind::kWrongIncarnation);
    owner_message_identity from = Last();
    ++from.owner_incarnation.value;
    entry_.OnAttemptRefused(from, error_kind::kWrongIncarnation, 0, {}, kNow);
  }
  EXPECT_TRUE(entry_.IsIdle());
}

// Guards against upstreams that refuse calls and get them all again from other owners.
TEST_F(EntrySystemTest, UpstreamRefusalsUseTheBudgetAfterArrival) {
  entry_.SetRetryShares({.after_refusal = 1, .after_arrival = 0.1});
  constexpr std::uint64_t kCalls = 200;
  EXPECT_CALL(callers_, RespondWithError(_, _, _, _, _)).Times(::testing::AnyNumber());
  for (std::uint64_t call = 0; call < kCalls; ++call) {
    caller_request request = Request("/orders/1");
    request.exchange = exchange_id{100 + call};
    entry_.OnCallerRequest(request, kNow);
    for (std::size_t sent = 0; sent < sent_.size() && !entry_.IsIdle();) {
      sent = sent_.size();
      Refuse(error_kind::kUpstreamRefused);
    }
  }
  EXPECT_LE(sent_.size(), kCalls + kCalls / 10);
  EXPECT_GE(sent_.size(), kCalls + kCalls / 20);
}

// Guards against a refused call that is sent to all owners in turn.
TEST_F(EntrySystemTest, SendsAtMostThreeAttempts) {
  const call_id id = entry_.OnCallerRequest(Request(), kNow);
  Refuse(error_kind::kOverloaded);
  Refuse(error_kind::kDraining);
  ExpectError(error_kind::kOverloaded);
  Refuse(error_kind::kOverloaded);
  EXPECT_EQ(sent_.size(), 3U);
  EXPECT_EQ(entry_.history().Find(id)->attempts.size(), 3U);
}

// Guards against retries that multiply the work when every owner refuses.
TEST_F(EntrySystemTest, EmptyBudgetEndsTheCall) {
  EXPECT_CALL(callers_, RespondWithError(_, _, error_kind::kRetryBudgetEmpty, _, _)).Times(80);
  for (std::uint64_t i = 0; i < 100; ++i) {
    caller_request request = Request();
    request.exchange = exchange_id{100 + i};
    entry_.OnCallerRequest(request, kNow);
    Refuse(error_kind::kOverloaded);
  }
  EXPECT_EQ(sent_.size(), 120U);
}

// Guards against reporting an unknown execution state for a protected call that was never sent.
TEST_F(EntrySystemTest, SkipsOwnersWithoutAnOpenChannel) {
  EXPECT_CALL(peers_, SendAttempt(_, Field(&attempt_head::target, member_id{2})))
      .WillOnce(Return(false));
  EXPECT_CALL(peers_, SendAttempt(_, Field(&attempt_head::target, member_id{3})));
  entry_.OnCallerRequest(Request(), kNow);
}

// Guards against a response of another attempt, owner or incarnation that reaches this caller.
TEST_F(EntrySystemTest, DropsResponsesThatMatchNoOpenAttempt) {
  entry_.OnCallerRequest(Request(), kNow);
  EXPECT_CALL(callers_, RelayResponse).Times(0);
  EXPECT_CALL(callers_, RespondWithError).Times(0);
  std::vector<owner_message_identity> wrong(5, Last());
  wrong[0].owner.value++;
  wrong[1].owner_incarnation.value++;
  wrong[2].attempt.number++;
  wrong[3].attempt.call.sequence++;
  wrong[4].attempt.call.entry_incarnation.value++;
  for (const owner_message_identity& from : wrong) {
    entry_.OnResponseHead(from, 200, kNow);
    entry_.OnAttemptFinished(from, true, {}, kNow);
    entry_.OnAttemptRefused(from, error_kind::kOverloaded, 0, {}, kNow);
  }
  EXPECT_EQ(entry_.counters().dropped_responses, 15U);
  EXPECT_EQ(entry_.open_calls(), 1U);
}

// Guards against a key that runs at two owners.
TEST_F(EntrySystemTest, KeyGoesToItsHomeOnly) {
  caller_request request = Request();
  request.key = "own";
  entry_.OnCallerRequest(request, kNow);
  ExpectError(error_kind::kOverloaded);
  Refuse(error_kind::kOverloaded);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against "not run" for a later try from an entry that has no information about the
// earlier ones.
TEST_F(EntrySystemTest, LaterTryIsReportedUnknownIfItsHomeIsUnreachable) {
  caller_request request = Request();
  request.key = "own";
  request.caller_try = 2;
  EXPECT_CALL(peers_, SendAttempt).WillOnce(Return(false));
  ExpectError(error_kind::kKeyUnknown);
  entry_.OnCallerRequest(request, kNow);
}

// Guards against "not run" from a home whose key table is full while an earlier try is still on
// its way there.
TEST_F(EntrySystemTest, LaterTryIsReportedUnknownIfItsHomeIsFull) {
  caller_request request = Request();
  request.key = "own";
  request.caller_try = 2;
  entry_.OnCallerRequest(request, kNow);
  ExpectError(error_kind::kKeyUnknown);
  Refuse(error_kind::kKeyTableFull);
}

// Guards against a call that is sent again to the incarnation that refused it. The refusal
// contains no later incarnation if another process has taken over the owner's address.
TEST_F(EntrySystemTest, WrongIncarnationWithoutALaterOneExcludesTheOwner) {
  entry_.OnCallerRequest(Request(), kNow);
  const owner_message_identity from = Last();
  entry_.OnAttemptRefused(from, error_kind::kWrongIncarnation, 0, {}, kNow);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_NE(sent_.back().target, from.owner);
}

// Guards against reporting "not run" for a key whose home restarted.
TEST_F(EntrySystemTest, RestartedHomeLosesItsKeys) {
  caller_request request = Request();
  request.key = FormatIssuedKey({{member_id{2}, incarnation_id{20}}, 1, 1});
  entry_.OnCallerRequest(request, kNow);
  owner_message_identity from = Last();
  from.owner_incarnation.value++;
  ExpectError(error_kind::kKeyHomeLost);
  entry_.OnAttemptRefused(from, error_kind::kWrongIncarnation, 0, {}, kNow);
  request.key = FormatIssuedKey({{member_id{2}, incarnation_id{19}}, 1, 1});
  ExpectError(error_kind::kKeyHomeLost);
  entry_.OnCallerRequest(request, kNow);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a key whose home is not the chosen upstream, so that its first try needs two
// hops.
TEST_F(EntrySystemTest, IssuedKeyHasTheChosenUpstreamAsHome) {
  const auto key = entry_.IssueKey("orders", kNow);
  EXPECT_EQ(ParseIssuedKey(std::get<std::string>(key))->home.id, member_id{2});
  EXPECT_EQ(std::get<error_kind>(entry_.IssueKey("nothing", kNow)),
            error_kind::kUnknownService);
}

// Guards against uploads that use the slots of short work.
TEST_F(EntrySystemTest, LargeAndUnmarkedUnknownBodiesAreLong) {
  auto is_long = [&](const char* path, std::optional<std::uint64_t> length) {
    caller_request request = Request(path);
    request.content_length = length;
    entry_.OnCallerRequest(request, kNow);
    return sent_.back().is_long;
  };
  EXPECT_FALSE(is_long("/orders/new", 1 << 20));
  EXPECT_TRUE(is_long("/orders/new", (1 << 20) + 1));
  EXPECT_FALSE(is_long("/orders/new", std::nullopt));
  EXPECT_TRUE(is_long("/orders/other", std::nullopt));
}

// Guards against a caller that waits for ever, and against an owner that continues work whose
// result is no longer needed.
TEST_F(EntrySystemTest, DeadlineEndsTheCallOnce) {
  entry_.OnCallerRequest(Request(), kNow);
  entry_.Tick(kNow + std::chrono::seconds(1));
  EXPECT_EQ(entry_.open_calls(), 1U) << "the owner may still report that the call was not run";
  EXPECT_CALL(peers_, CancelAttempt(exchange_id{5}, Last().attempt));
  ExpectError(error_kind::kDeadlineExceeded);
  entry_.Tick(kNow + std::chrono::seconds(1) + std::chrono::milliseconds(50));
  Refuse(error_kind::kQueueTimeout);
  EXPECT_TRUE(entry_.IsIdle());
}

struct mock_usage : usage_gate {
  MOCK_METHOD(void, SetListener, (usage_listener*), (override));
  MOCK_METHOD(usage_decision, Acquire,
              (std::string_view, std::uint64_t, time_point, time_point), (override));
  MOCK_METHOD(void, Cancel, (std::string_view, std::uint64_t), (override));
  MOCK_METHOD(void, Return, (std::string_view, time_point, time_point), (override));
};

class EntryUsageTest : public EntrySystemTest {
 protected:
  EntryUsageTest() {
    surroundings_.account = "acme";
    entry_.SetUsageGate(&usage_);
  }
  ~EntryUsageTest() override { entry_.SetUsageGate(nullptr); }
  void Decide(usage_state state) {
    EXPECT_CALL(usage_, Acquire(std::string_view("acme"), _, _, kNow))
        .WillOnce(Return(usage_decision{.state = state,
                                        .expires = kNow + std::chrono::milliseconds(500),
                                        .retry_at = kNow + std::chrono::milliseconds(70)}));
  }

  testing::StrictMock<mock_usage> usage_;
};

// Guards against a limit on requests without an account, and on calls of running work.
TEST_F(EntryUsageTest, RequestWithoutAccountAsksForNoToken) {
  surroundings_.account = "";
  entry_.OnCallerRequest(Request(), kNow);
  EXPECT_EQ(sent_.size(), 1U);
  entry_.OnCallerDisconnected(exchange_id{5}, kNow);
}

// Guards against waits that take more than a quarter of the time to the objective.
TEST_F(EntryUsageTest, WaitsAtMostAQuarterOfTheTimeToTheObjective) {
  caller_request request = Request();
  request.deadline = kNow + std::chrono::milliseconds(200);
  EXPECT_CALL(usage_, Acquire(_, _, kNow + std::chrono::milliseconds(50), kNow))
      .WillOnce(Return(usage_decision{}));
  entry_.OnCallerRequest(request, kNow);
  entry_.OnCallerDisconnected(exchange_id{5}, kNow);
}

TEST_F(EntryUsageTest, DeniedRequestEndsWithTheRetryTimeOfTheGate) {
  Decide(usage_state::kDenied);
  EXPECT_CALL(callers_, RespondWithError(exchange_id{5}, _, error_kind::kUsageCapReached, 0,
                                         duration(std::chrono::milliseconds(70))));
  entry_.OnCallerRequest(Request(), kNow);
  EXPECT_TRUE(sent_.empty());
  EXPECT_TRUE(entry_.IsIdle());
}

TEST_F(EntryUsageTest, PendingRequestStartsOnceItIsGranted) {
  Decide(usage_state::kPending);
  const call_id call = entry_.OnCallerRequest(Request(), kNow);
  EXPECT_TRUE(sent_.empty());
  entry_.OnUsageGranted(call.sequence, {}, kNow);
  EXPECT_EQ(sent_.size(), 1U);
  // A second decision on the same call changes nothing.
  entry_.OnUsageGranted(call.sequence, {}, kNow);
  entry_.OnUsageDenied(call.sequence, {}, kNow);
  EXPECT_EQ(sent_.size(), 1U);
  entry_.OnCallerDisconnected(exchange_id{5}, kNow);
}

TEST_F(EntryUsageTest, PendingRequestThatIsDeniedEndsAsNotRun) {
  Decide(usage_state::kPending);
  const call_id call = entry_.OnCallerRequest(Request(), kNow);
  ExpectError(error_kind::kUsageCapReached);
  entry_.OnUsageDenied(call.sequence, {.retry_at = kNow}, kNow);
  EXPECT_TRUE(entry_.IsIdle());
}

// Guards against tokens that go to a request whose caller has left.
TEST_F(EntryUsageTest, CallerThatLeavesEndsTheWait) {
  Decide(usage_state::kPending);
  const call_id call = entry_.OnCallerRequest(Request(), kNow);
  EXPECT_CALL(usage_, Cancel(std::string_view("acme"), call.sequence));
  EXPECT_CALL(callers_, RespondWithError).Times(0);
  entry_.OnCallerDisconnected(exchange_id{5}, kNow);
  entry_.OnUsageGranted(call.sequence, {}, kNow);
  EXPECT_TRUE(sent_.empty());
}

// Guards against an error that leaves it open whether the request ran.
TEST_F(EntryUsageTest, DeadlineDuringTheWaitIsNotRun) {
  Decide(usage_state::kPending);
  const call_id call = entry_.OnCallerRequest(Request(), kNow);
  EXPECT_CALL(usage_, Cancel(std::string_view("acme"), call.sequence));
  ExpectError(error_kind::kUsageCapReached);
  entry_.Tick(kNow + std::chrono::seconds(2));
  EXPECT_TRUE(entry_.IsIdle());
}

// Guards against an account that loses tokens by refusals of others, and against tokens that
// are returned though the request may have run.
TEST_F(EntryUsageTest, TokenIsReturnedOnlyIfTheRequestHasNotRun) {
  Decide(usage_state::kGranted);
  entry_.OnCallerRequest(Request(), kNow);
  EXPECT_CALL(usage_,
              Return(std::string_view("acme"), kNow + std::chrono::milliseconds(500), kNow));
  ExpectError(error_kind::kQueueTimeout);
  Refuse(error_kind::kQueueTimeout);

  Decide(usage_state::kGranted);
  entry_.OnCallerRequest(Request(), kNow);
  ExpectError(error_kind::kAnswerLost);
  entry_.OnAttemptLost(sent_.back().id, true, kNow);
}

}  // namespace
}  // namespace bronzeroute
