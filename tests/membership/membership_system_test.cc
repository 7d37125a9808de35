#include "src/membership/membership_system.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/membership/member_codec.h"
#include "tests/configuration/mock_log.h"
#include "tests/membership/member_net.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::string JoinRecord(std::size_t slot, std::uint64_t incarnation) {
  member_update update;
  update.row.id = member_net::Id(slot);
  update.row.incarnation.value = incarnation;
  update.row.region = "recife";
  update.row.peer_address = member_net::Address(slot, 7000);
  update.row.membership_address = member_net::Address(slot, 7001);
  update.has_details = true;
  update.details_version = 1;
  return EncodeMemberLogRecord(update);
}

bool HasState(member_net& net, std::size_t at, std::size_t of, member_state state) {
  const member_row* row = net.at(at).Find(member_net::Id(of));
  return row != nullptr && row->state == state;
}

bool HasStateEverywhere(member_net& net, std::size_t of, member_state state) {
  for (std::size_t i = 0; i < net.slots(); ++i) {
    if (i != of && net.running(i) && !HasState(net, i, of, state)) return false;
  }
  return true;
}

bool IsDrainReceivedEverywhere(member_net& net, std::size_t of) {
  for (std::size_t i = 0; i < net.slots(); ++i) {
    const member_row* row = net.at(i).Find(member_net::Id(of));
    if (row == nullptr || !row->draining) return false;
  }
  return true;
}

int CountEvents(membership_system& system, membership_event_kind kind) {
  return static_cast<int>(
      std::ranges::count(system.TakeEvents(), kind, &membership_event::kind));
}

// Guards against members that start at the same time and do not find each other.
TEST(Membership, MembersStartingTogetherFindEachOtherThroughTheLog) {
  member_net net({});
  net.StartAll(20);
  EXPECT_TRUE(net.RunUntil(seconds(12), [&] { return net.Converged(); }));
  EXPECT_EQ(net.records.size(), 20U);  // One join record per member.
}

// Guards against an undetected failure, and against a failure that removes healthy members.
TEST(Membership, OnlyTheKilledMemberIsDeclaredDead) {
  member_net net({});
  net.StartAll(20);
  net.RunFor(seconds(15));
  net.Kill(7);
  EXPECT_TRUE(net.RunUntil(seconds(25),
                           [&] { return HasStateEverywhere(net, 7, member_state::kDead); }));
  net.RunFor(seconds(20));
  EXPECT_TRUE(net.Converged());
}

// Guards against healthy members declared dead under moderate datagram loss and duplication.
TEST(Membership, DatagramLossDeclaresNobodyDead) {
  member_net net({.seed = 3, .loss = 0.1, .duplicate = 0.1});
  net.StartAll(15);
  net.RunFor(seconds(20));
  for (std::size_t i = 0; i < 15; ++i) net.at(i).TakeEvents();
  net.RunFor(seconds(120));
  for (std::size_t i = 0; i < 15; ++i) {
    EXPECT_EQ(CountEvents(net.at(i), membership_event_kind::kDead), 0) << i;
  }
}

// Guards against suspicions between two members whose direct link alone is broken.
TEST(Membership, IndirectProbesBypassABrokenLink) {
  member_net net({});
  net.StartAll(6);
  net.RunFor(seconds(15));
  net.DropLink(0, 1);
  for (std::size_t i = 0; i < 6; ++i) net.at(i).TakeEvents();
  net.RunFor(minutes(3));
  for (std::size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(CountEvents(net.at(i), membership_event_kind::kSuspect), 0) << i;
  }
}

// Guards against peers that send work to a draining upstream for more than 3 s.
TEST(Membership, DrainReachesAllPeersWithinThreeSeconds) {
  for (const std::size_t count : {3U, 20U, 100U}) {
    member_net net({.seed = count, .loss = 0.05});
    net.StartAll(count);
    net.RunFor(seconds(20));
    net.at(1).Drain(net.now());
    EXPECT_TRUE(net.RunUntil(seconds(3), [&] { return IsDrainReceivedEverywhere(net, 1); }))
        << count;
  }
}

// Guards against a leave that peers treat as a failure or that later starters do not read.
TEST(Membership, LeaveReachesPeersAndLog) {
  member_net net({});
  net.StartAll(12);
  net.RunFor(seconds(15));
  net.at(4).Leave(net.now());
  EXPECT_TRUE(net.RunUntil(seconds(3), [&] {
    return HasStateEverywhere(net, 4, member_state::kLeft) && net.at(4).leave_recorded();
  }));
  net.Kill(4);
  net.Start(12);
  net.RunFor(seconds(15));
  EXPECT_TRUE(HasState(net, 12, 4, member_state::kLeft));
  net.RunFor(seconds(60));
  EXPECT_TRUE(HasState(net, 12, 4, member_state::kLeft));
  EXPECT_TRUE(HasStateEverywhere(net, 4, member_state::kLeft));
}

// Guards against a process that declares its peers dead when it resumes after a freeze, and
// against peers that keep it dead afterwards.
TEST(Membership, FrozenMemberRefutesAndDeclaresNobodyDead) {
  member_net net({});
  net.StartAll(10);
  net.RunFor(seconds(15));
  net.Freeze(2, true);
  EXPECT_TRUE(net.RunUntil(seconds(30),
                           [&] { return HasStateEverywhere(net, 2, member_state::kDead); }));
  const incarnation_id incarnation = net.at(2).self().incarnation;
  net.at(2).TakeEvents();
  net.Freeze(2, false);
  EXPECT_TRUE(net.RunUntil(seconds(20), [&] { return net.Converged(); }));
  EXPECT_EQ(net.at(2).self().incarnation, incarnation);
  const std::vector<membership_event> events = net.at(2).TakeEvents();
  EXPECT_EQ(std::ranges::count(events, membership_event_kind::kResumedAfterFreeze,
                               &membership_event::kind),
            1);
  EXPECT_EQ(std::ranges::count(events, membership_event_kind::kDead, &membership_event::kind),
            0);
}

// Guards against a suspicion that expires while the suspecting process is frozen.
TEST(Membership, FreezeDoesNotEndSuspicions) {
  member_net net({});
  net.StartAll(6);
  net.RunFor(seconds(15));
  net.Freeze(3, true);
  ASSERT_TRUE(
      net.RunUntil(seconds(15), [&] { return HasState(net, 0, 3, member_state::kSuspect); }));
  net.drop_while_frozen = true;
  net.Freeze(0, true);
  net.Freeze(3, false);
  net.RunFor(seconds(60));
  net.Freeze(0, false);
  net.at(0).TakeEvents();
  net.RunFor(milliseconds(20));
  EXPECT_EQ(CountEvents(net.at(0), membership_event_kind::kDead), 0);
  EXPECT_TRUE(net.RunUntil(seconds(20), [&] { return net.Converged(); }));
}

// Guards against members that stay dead after a partition heals while the log is unavailable,
// and against healthy members declared dead after it.
TEST(Membership, PartitionedRegionRecoversWithoutTheLog) {
  member_net net({});
  for (std::size_t i = 0; i < 16; ++i) net.Start(i, i < 8 ? "recife" : "salvador");
  net.RunFor(seconds(15));
  net.log_down = true;
  net.Partition({0, 1, 2, 3, 4, 5, 6, 7});
  net.RunFor(minutes(30));
  for (std::size_t b = 8; b < 16; ++b) EXPECT_TRUE(HasState(net, 0, b, member_state::kDead));
  for (std::size_t b = 1; b < 8; ++b) EXPECT_TRUE(HasState(net, 0, b, member_state::kAlive));
  for (std::size_t i = 0; i < 16; ++i) net.at(i).TakeEvents();
  net.Heal();
  EXPECT_TRUE(net.RunUntil(seconds(40), [&] { return net.Converged(); }));
  for (std::size_t i = 0; i < 16; ++i) {
    EXPECT_EQ(CountEvents(net.at(i), membership_event_kind::kDead), 0) << i;
  }
}

// Guards against records with state dead, still gossiped when a partition heals, that remove
// healthy members on the other side.
TEST(Membership, DeadStatesDoNotSpreadAfterAPartitionHeals) {
  member_net net({.seed = 5});
  for (std::size_t i = 0; i < 16; ++i) net.Start(i, i < 8 ? "recife" : "salvador");
  net.RunFor(seconds(15));
  net.Partition({0, 1, 2, 3, 4, 5, 6, 7});
  ASSERT_TRUE(net.RunUntil(seconds(30), [&] {
    int dead = 0;
    for (std::size_t b = 8; b < 16; ++b) dead += HasState(net, 0, b, member_state::kDead);
    return dead >= 6;
  }));
  for (std::size_t i = 0; i < 16; ++i) net.at(i).TakeEvents();
  net.Heal();
  net.RunFor(seconds(40));
  EXPECT_TRUE(net.Converged());
  for (std::size_t i = 8; i < 16; ++i) {
    for (const membership_event& event : net.at(i).TakeEvents()) {
      const bool same_side = event.id.value >= member_net::Id(8).value;
      EXPECT_FALSE(event.kind == membership_event_kind::kDead && same_side) << i;
    }
  }
}

// Guards against rows of dead members that are never removed.
TEST(Membership, DeadMembersAreRemovedAfterTwoHours) {
  member_net net({});
  net.StartAll(3);
  net.RunFor(seconds(15));
  net.Kill(2);
  net.RunFor(minutes(115));
  EXPECT_TRUE(HasState(net, 0, 2, member_state::kDead));
  net.RunFor(minutes(10));
  EXPECT_EQ(net.at(0).Find(member_net::Id(2)), nullptr);
}

// Guards against a burst of join records, and against rows of earlier incarnations that remain
// after a mass restart.
TEST(Membership, MassRestartSpreadsJoinsOverFiveSeconds) {
  member_net net({});
  net.StartAll(40);
  net.RunFor(seconds(20));
  const std::size_t before = net.records.size();
  net.StartAll(40);
  const std::int64_t start_ms = net.NowMs();
  EXPECT_TRUE(net.RunUntil(seconds(15), [&] { return net.Converged(); }));
  std::vector<int> per_second(8, 0);
  for (std::size_t i = before; i < net.records.size(); ++i) {
    const auto second = static_cast<std::size_t>((net.records[i].first - start_ms) / 1000);
    ASSERT_LT(second, per_second.size());
    ++per_second[second];
  }
  EXPECT_LE(*std::ranges::max_element(per_second), 20);
}

// Guards against processes that stay isolated after a mass restart during a log outage.
TEST(Membership, MembersFindEachOtherThroughSeeds) {
  member_net net({.seeds = {member_net::Address(0, 7001), member_net::Address(1, 7001)}});
  net.log_down = true;
  net.StartAll(30);
  EXPECT_TRUE(net.RunUntil(seconds(40), [&] { return net.Converged(); }));
  net.log_down = false;
  net.RunFor(seconds(70));
  EXPECT_EQ(net.records.size(), 30U);  // The joins are appended once the log is available.
}

// Guards against members that never converge, and against traffic above the budget, when all
// members probe the same seeds after a mass restart during a log outage.
TEST(Membership, MassRestartWithFewSeedsStaysWithinBudget) {
  member_net net({.seed = 4,
                  .loss = 0.01,
                  .seeds = {member_net::Address(0, 7001), member_net::Address(1, 7001)}});
  net.log_down = true;
  net.StartAll(200);
  net.RunFor(seconds(10));
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < 200; ++i) before.push_back(net.SentBytes(i));
  net.RunFor(seconds(10));
  for (std::size_t i = 0; i < 200; ++i) EXPECT_LE(net.SentBytes(i) - before[i], 55'000U) << i;
  EXPECT_TRUE(net.RunUntil(seconds(60), [&] { return net.Converged(); }));
}

// Guards against a starting process that needs minutes to receive all members while the log is
// unavailable.
TEST(Membership, LateProcessPullsTheMembersFromPeers) {
  member_net net({.seed = 8, .seeds = {member_net::Address(0, 7001)}});
  net.StartAll(250);
  net.RunFor(seconds(30));
  net.log_down = true;
  net.Start(250);
  EXPECT_TRUE(net.RunUntil(seconds(20), [&] { return net.HasCurrentView(250); }));
}

// Guards against a lost append response after which the join is missing or repeated for ever.
TEST(Membership, LostAppendResponsesAreRetried) {
  member_net net({});
  net.lose_append_responses = 5;
  net.StartAll(5);
  net.RunFor(seconds(60));
  EXPECT_TRUE(net.Converged());
  EXPECT_EQ(net.records.size(), 10U);
}

// Guards against join records that expire from the log while their members are alive.
TEST(Membership, JoinIsRefreshedWithinHalfOfTheRetention) {
  member_net net({});
  net.retention_ms = 60'000;
  net.StartAll(4);
  net.RunFor(minutes(10));
  EXPECT_GE(net.records.size(), 4U * 19U);
  EXPECT_LE(net.records.size(), 4U * 28U);
  net.Start(4);
  EXPECT_TRUE(net.RunUntil(seconds(10), [&] { return net.Converged(); }));
}

// Guards against dead members that a starting process keeps as alive because of an old join
// record, and against live members that are not confirmed within seconds.
TEST(Membership, OldJoinRecordsAreConfirmedOrExpire) {
  member_net net({});
  net.StartAll(10);
  net.RunFor(seconds(30));
  net.records.emplace_back(0, JoinRecord(50, 5));
  for (std::size_t i = 0; i < 10; ++i) net.at(i).TakeEvents();
  net.Start(10);
  net.RunFor(milliseconds(300));
  EXPECT_TRUE(HasState(net, 10, 50, member_state::kSuspect));
  EXPECT_TRUE(net.RunUntil(seconds(12), [&] {
    return HasStateEverywhere(net, 10, member_state::kAlive) &&
           HasState(net, 10, 3, member_state::kAlive);
  }));
  net.RunFor(seconds(30));
  EXPECT_TRUE(HasStateEverywhere(net, 50, member_state::kDead));
  // The starting process does not gossip its suspicions, so no member has to refute one.
  for (std::size_t i = 0; i < 10; ++i) {
    EXPECT_EQ(CountEvents(net.at(i), membership_event_kind::kRefuted), 0) << i;
  }
}

// Guards against a process that restarts with an earlier or an equal clock and is treated as
// its previous incarnation.
TEST(Membership, BumpsIncarnationAboveAnySeen) {
  member_net net({});
  net.StartAll(5);
  net.RunFor(seconds(15));
  for (const bool same : {false, true}) {
    const incarnation_id before = net.at(2).self().incarnation;
    net.Start(2, "recife", same ? before.value : 17);
    net.RunFor(
        seconds(8));  // Before the first read, a repeated incarnation counts as converged.
    EXPECT_TRUE(net.RunUntil(seconds(20), [&] { return net.Converged(); }));
    EXPECT_GT(net.at(2).self().incarnation.value, before.value);
  }
}

// Guards against an earlier incarnation that becomes alive by late datagrams or old records.
TEST(Membership, EarlierIncarnationNeverRevives) {
  member_net net({});
  net.StartAll(6);
  std::vector<std::pair<std::string, std::string>> recorded;
  net.on_datagram = [&](std::size_t from, std::string_view to, std::string_view payload) {
    if (from == 3) recorded.emplace_back(std::string(to), std::string(payload));
  };
  net.RunFor(seconds(20));
  net.on_datagram = nullptr;
  const incarnation_id first = net.at(3).self().incarnation;
  net.Start(3);
  net.RunFor(seconds(20));
  net.Kill(3);
  ASSERT_TRUE(net.RunUntil(seconds(30),
                           [&] { return HasStateEverywhere(net, 3, member_state::kDead); }));
  for (const auto& [to, payload] : recorded) {
    net.Inject(member_net::Address(3, 7001), to, payload, milliseconds(5));
  }
  net.records.emplace_back(net.NowMs(), JoinRecord(3, first.value));
  net.RunFor(seconds(5));
  EXPECT_TRUE(HasStateEverywhere(net, 3, member_state::kDead));
}

// Guards against a dead incarnation that becomes alive by its own delayed datagrams, which have
// its last refutation counter.
TEST(Membership, LateDatagramsOfADeadIncarnationDoNotRevive) {
  member_net net({});
  net.StartAll(6);
  std::vector<std::pair<std::string, std::string>> recorded;
  net.on_datagram = [&](std::size_t from, std::string_view to, std::string_view payload) {
    if (from == 3) recorded.emplace_back(std::string(to), std::string(payload));
  };
  net.RunFor(seconds(20));
  net.on_datagram = nullptr;
  net.Kill(3);
  ASSERT_TRUE(net.RunUntil(seconds(30),
                           [&] { return HasStateEverywhere(net, 3, member_state::kDead); }));
  for (const auto& [to, payload] : recorded) {
    net.Inject(member_net::Address(3, 7001), to, payload, milliseconds(5));
  }
  net.RunFor(seconds(5));
  EXPECT_TRUE(HasStateEverywhere(net, 3, member_state::kDead));
}

// Guards against an upstream that is gone but still has a service at peers, and against one
// that is never reported to them.
TEST(Membership, UpstreamAnnouncementsReachPeersAndExpire) {
  member_net net({});
  net.StartAll(5);
  net.RunFor(seconds(12));
  net.at(1).OnAnnouncement(
      {.service = "estoque", .address = "10.0.0.2:80", .slots = 6, .connections = 260},
      net.now());
  const auto service_is = [&net](std::string_view service) {
    for (std::size_t i = 0; i < 5; ++i) {
      if (net.at(i).Find(member_net::Id(1))->service != service) return false;
    }
    return true;
  };
  ASSERT_NE(net.at(1).upstream(), nullptr);
  EXPECT_EQ(net.at(1).upstream()->slots, 6U);
  EXPECT_TRUE(net.RunUntil(seconds(5), [&] { return service_is("estoque"); }));
  EXPECT_TRUE(net.RunUntil(seconds(15), [&] { return service_is(""); }));
  EXPECT_EQ(net.at(1).upstream(), nullptr);
}

// Guards against probes without the current hint and configuration version.
TEST(Membership, ProbesCarryHintsAndConfigurationVersions) {
  member_net net({});
  net.StartAll(4);
  net.RunFor(seconds(12));
  net.at(0).SetHint({.sequence = 9, .effective_slots = 6, .in_use = 2});
  net.at(0).SetConfigVersion(41);
  EXPECT_TRUE(net.RunUntil(seconds(15), [&] {
    for (std::size_t i = 1; i < 4; ++i) {
      const member_row* row = net.at(i).Find(member_net::Id(0));
      if (row->hint.sequence != 9 || row->config_version != 41) return false;
    }
    return true;
  }));
  EXPECT_EQ(CountEvents(net.at(2), membership_event_kind::kNewerConfiguration), 1);
}

// Guards against a crash or a state change on bytes that are not a membership datagram.
TEST(Membership, MalformedDatagramsAreCounted) {
  member_net net({});
  net.StartAll(2);
  net.RunFor(seconds(10));
  net.at(0).OnDatagram("10.9.9.9:1", "\xff\xff\xff", net.now());
  net.at(0).OnDatagram("10.9.9.9:1", "", net.now());
  EXPECT_EQ(net.at(0).malformed_datagrams(), 2U);
  EXPECT_TRUE(net.Converged());
}

// Guards against records of other writers that end the process, keep the others from being
// read, or isolate a member: bytes that cannot be read, deep nesting, numbers that are too
// large.
TEST(Membership, OddRecordsOfOtherWritersAreSkipped) {
  constexpr std::size_t kDepth = 100'000;
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
  member_net net({});
  net.StartAll(3);
  net.RunFor(seconds(10));
  // A group that is opened within itself again and again, in an unknown field.
  const std::string nested(kDepth, '\x7b');
  const std::string long_number = std::string("\x0a\x0b\x10") + std::string(11, '\xff');
  for (const std::string& data :
       {std::string("\xff\xff\xff"), std::string(), std::string("[[[["), nested, long_number,
        JoinRecord(1, kLargest), JoinRecord(2, kLargest), JoinRecord(9, kLargest)}) {
    net.records.emplace_back(net.NowMs(), data);
  }
  net.records.emplace_back(net.NowMs(), JoinRecord(3, 5));
  EXPECT_TRUE(net.RunUntil(seconds(20), [&] { return net.at(0).Find(net.Id(3)) != nullptr; }));
  net.Start(4);
  EXPECT_TRUE(net.RunUntil(seconds(20), [&] {
    return HasStateEverywhere(net, 4, member_state::kAlive) &&
           HasStateEverywhere(net, 1, member_state::kAlive) &&
           HasStateEverywhere(net, 2, member_state::kAlive);
  }));
  EXPECT_EQ(net.at(0).Find(net.Id(9)), nullptr);
}

// Guards against datagrams above the size limit, which the network would fragment.
TEST(Membership, DatagramsStayWithinTheLimit) {
  member_net net({.seeds = {member_net::Address(0, 7001)}});
  net.log_down = true;
  net.StartAll(60);
  net.RunFor(seconds(40));
  EXPECT_LE(net.LargestDatagram(), 1200U);
}

// Guards against healthy members declared dead under a document without a measuring budget.
TEST(Membership, WithoutBudgetMembersStayAliveAtTheLongestProbeInterval) {
  member_net net({.seed = 6, .loss = 0.02, .bytes_per_second = 0});
  net.StartAll(10);
  net.RunFor(seconds(30));
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < 10; ++i) before.push_back(net.SentBytes(i));
  net.RunFor(seconds(300));
  EXPECT_TRUE(net.Converged());
  for (std::size_t i = 0; i < 10; ++i) {
    EXPECT_LE((net.SentBytes(i) - before[i]) / 300, 200U) << i;
  }
  net.Kill(4);
  EXPECT_TRUE(net.RunUntil(seconds(90),
                           [&] { return HasStateEverywhere(net, 4, member_state::kDead); }));
}

// Guards against acknowledgements on credit that carry details of joining members and exceed a
// small budget. The seeds reproduced the fault.
TEST(Membership, JoinsOnASmallBudgetStayWithinIt) {
  for (const std::uint64_t seed : {20U, 144U, 273U}) {
    member_net net({.seed = seed, .loss = 0.05, .bytes_per_second = 500});
    net.StartAll(12);
    net.RunFor(seconds(10));
    for (std::size_t i = 0; i < 12; ++i) EXPECT_LE(net.SentBytes(i), 6228U) << seed;
  }
}

// Guards against an empty budget that stops failure detection or is exceeded for long.
TEST(Membership, SmallBudgetSlowsProbesAndStillDetectsFailures) {
  member_net net({.bytes_per_second = 300});
  net.StartAll(10);
  net.RunFor(seconds(30));
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < 10; ++i) before.push_back(net.SentBytes(i));
  net.RunFor(seconds(100));
  for (std::size_t i = 0; i < 10; ++i) {
    EXPECT_LE((net.SentBytes(i) - before[i]) / 100, 330U) << i;
  }
  net.Kill(4);
  EXPECT_TRUE(net.RunUntil(seconds(60),
                           [&] { return HasStateEverywhere(net, 4, member_state::kDead); }));
}

class mock_datagrams : public datagram_port {
 public:
  MOCK_METHOD(void, SendDatagram, (std::string_view, std::string_view), (override));
};

// Guards against frequent appends to an unavailable log: retries back off with jitter.
TEST(Membership, AppendRetriesBackOff) {
  testing::NiceMock<mock_datagrams> datagrams;
  testing::NiceMock<tests::mock_log> log;
  budget_account budget(5000, duration(0));
  time_point now{seconds(1)};
  member_row row;
  row.id.value = 5;
  membership_system system(row, {}, datagrams, log, budget, 1, now);
  std::uint64_t pending = 0;
  int appends = 0;
  ON_CALL(log, Append).WillByDefault([&](auto, auto, auto, std::uint64_t token) {
    pending = token;
    ++appends;
  });
  for (int i = 0; i < 12'000; ++i) {
    now += milliseconds(10);
    system.Tick(now);
    if (pending != 0) system.OnAppendResult(std::exchange(pending, 0), false, now);
  }
  EXPECT_GE(appends, 6);
  EXPECT_LE(appends, 16);
}

// Guards against a member that daemons which start later cannot find, because the log was
// restored from a copy without its record.
TEST(Membership, RecordThatTheLogHasLostIsAppendedAgain) {
  testing::NiceMock<mock_datagrams> datagrams;
  testing::NiceMock<tests::mock_log> log;
  budget_account budget(5000, duration(0));
  time_point now{seconds(1)};
  member_row row;
  row.id.value = 5;
  row.incarnation.value = 3;
  membership_system system(row, {}, datagrams, log, budget, 1, now);
  std::vector<std::string> appended;
  std::uint64_t pending = 0;
  ON_CALL(log, Append).WillByDefault([&](auto, auto, auto data, std::uint64_t token) {
    appended.emplace_back(data);
    pending = token;
  });
  const auto run = [&](duration time) {
    for (const time_point until = now + time; now < until;) {
      now += milliseconds(10);
      system.Tick(now);
      if (pending != 0) system.OnAppendResult(std::exchange(pending, 0), true, now);
    }
  };
  const auto read_newest = [&](const std::vector<std::string>& records) {
    log_read read;
    read.stream = "members";
    read.retention_ms = 600'000'000;
    read.is_newest_of_each = true;
    for (const std::string& data : records) {
      read.records.push_back({.offset = read.next++, .age_ms = 0, .data = data});
    }
    system.OnLogRead(read, now);
  };
  run(seconds(10));
  ASSERT_EQ(appended.size(), 1U);
  read_newest({appended.back(), JoinRecord(9, 1)});
  run(seconds(5));
  EXPECT_EQ(appended.size(), 1U);
  read_newest({JoinRecord(9, 1)});
  run(seconds(5));
  ASSERT_EQ(appended.size(), 2U);
  EXPECT_EQ(appended[0], appended[1]);
}

// Guards against n joins per second that cause n reads per second from every member, and
// against a pause between the pages of a long stream.
TEST(Membership, JoinsOfOtherMembersDoNotMultiplyReads) {
  testing::NiceMock<mock_datagrams> datagrams;
  testing::NiceMock<tests::mock_log> log;
  budget_account budget(5000, duration(0));
  time_point now{seconds(1)};
  member_row row;
  row.id.value = 5;
  membership_system system(row, {}, datagrams, log, budget, 1, now);
  bool read_pending = false;
  int reads = 0;
  ON_CALL(log, Read).WillByDefault([&](auto, auto) {
    read_pending = true;
    ++reads;
  });
  std::int64_t offset = 0;
  const auto reply = [&](std::int64_t remaining) {
    log_read read;
    read.stream = "members";
    read.retention_ms = 600'000;
    read.records.push_back({.offset = offset,
                            .age_ms = 0,
                            .data = JoinRecord(static_cast<std::size_t>(offset), 1)});
    read.next = ++offset + remaining;
    read_pending = false;
    system.OnLogRead(read, now);
  };
  // Ten pages are read without a pause.
  for (int page = 10; page > 0; --page) {
    now += milliseconds(10);
    system.Tick(now);
    ASSERT_TRUE(read_pending) << page;
    reply(page - 1);
  }
  // Then a join every 10 ms completes each pending read immediately.
  reads = 0;
  for (int tick = 0; tick < 1000; ++tick) {
    now += milliseconds(10);
    system.Tick(now);
    if (read_pending) reply(0);
  }
  EXPECT_GE(reads, 9);
  EXPECT_LE(reads, 10);
}

// Guards against combinations of faults after which the members never converge.
RC_GTEST_PROP(MembershipProperty, ConvergesAfterFaultsEnd, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  member_net net({.seed = seed, .seeds = {member_net::Address(0, 7001)}});
  const std::size_t count = *rc::gen::inRange<std::size_t>(2, 9);
  net.StartAll(count);
  net.RunFor(seconds(8));
  std::vector<bool> frozen(count, false);
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> highest_incarnation;
  const auto faults = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<std::size_t>(0, count)));
  for (const auto& [fault, slot] : faults) {
    switch (fault) {
      case 0:
        net.Kill(slot);
        frozen[slot] = false;
        break;
      case 1:
        net.Start(slot);
        frozen[slot] = false;
        break;
      case 2:
        if (net.running(slot)) net.Freeze(slot, frozen[slot] = !frozen[slot]);
        break;
      case 3:
        net.Partition({slot, (slot + 1) % count});
        break;
      case 4:
        net.Heal();
        break;
      case 5:
        net.log_down = !net.log_down;
        break;
      case 6:
        net.net_options().loss = net.net_options().loss > 0 ? 0 : 0.3;
        net.net_options().duplicate = 0.2;
        break;
      case 7:
        net.lose_append_responses = 3;
        break;
      default:
        net.net_options().max_delay = milliseconds(300);
        break;
    }
    net.RunFor(seconds(static_cast<int>(slot) * 3 + 1));
    // No row goes back to an earlier incarnation while the process that holds it runs.
    for (std::size_t i = 0; i < count; ++i) {
      if (!net.running(i)) continue;
      for (const member_row& row : net.at(i).members()) {
        std::uint64_t& highest = highest_incarnation[{net.generation(i), row.id.value}];
        RC_ASSERT(row.incarnation.value >= highest);
        highest = row.incarnation.value;
      }
    }
  }
  net.Heal();
  net.log_down = false;
  net.net_options().loss = 0;
  net.net_options().max_delay = milliseconds(4);
  for (std::size_t i = 0; i < count; ++i) {
    if (net.running(i) && frozen[i]) net.Freeze(i, false);
  }
  RC_ASSERT(net.RunUntil(seconds(120), [&] { return net.Converged(); }));
}

// Guards against peers that send work to a draining upstream for more than 3 s, for any size,
// loss, budget and age of the membership.
RC_GTEST_PROP(MembershipProperty, DrainReachesAllPeersWithinThreeSeconds, ()) {
  member_net net({.seed = *rc::gen::arbitrary<std::uint64_t>(),
                  .loss = *rc::gen::inRange(0, 6) / 100.0,
                  .max_delay = milliseconds(30),
                  .bytes_per_second = *rc::gen::inRange<std::uint64_t>(400, 5000)});
  const auto count = *rc::gen::inRange<std::size_t>(2, 40);
  net.StartAll(count);
  net.RunFor(seconds(*rc::gen::inRange(8, 40)));
  const auto slot = *rc::gen::inRange<std::size_t>(0, count);
  net.at(slot).Drain(net.now());
  RC_ASSERT(net.RunUntil(seconds(3), [&] { return IsDrainReceivedEverywhere(net, slot); }));
}

// Guards against an earlier incarnation that becomes alive by datagrams and log records, in any
// order and with any repetitions.
RC_GTEST_PROP(MembershipProperty, EarlierIncarnationNeverRevives, ()) {
  member_net net({.seed = *rc::gen::arbitrary<std::uint64_t>()});
  net.StartAll(5);
  std::vector<std::pair<std::string, std::string>> sent;
  net.on_datagram = [&](std::size_t /*from*/, std::string_view to, std::string_view payload) {
    sent.emplace_back(std::string(to), std::string(payload));
  };
  net.RunFor(seconds(15));
  net.on_datagram = nullptr;
  const std::uint64_t first = net.at(3).self().incarnation.value;
  net.Start(3);
  net.RunFor(seconds(12));
  const bool is_killed = *rc::gen::arbitrary<bool>();
  if (is_killed) {
    net.Kill(3);
    RC_ASSERT(net.RunUntil(seconds(40),
                           [&] { return HasStateEverywhere(net, 3, member_state::kDead); }));
  }
  const auto replayed = *rc::gen::container<std::vector<std::size_t>>(
      200, rc::gen::inRange<std::size_t>(0, sent.size()));
  for (const std::size_t i : replayed) {
    net.Inject(member_net::Address(i % 5, 7001), sent[i].first, sent[i].second,
               milliseconds(i % 900));
  }
  net.records.emplace_back(net.NowMs(), JoinRecord(3, first));
  for (int step = 0; step < 10; ++step) {
    net.RunFor(milliseconds(200));
    for (std::size_t i = 0; i < 5; ++i) {
      if (!net.running(i)) continue;
      const member_row* row = net.at(i).Find(member_net::Id(3));
      RC_ASSERT(row != nullptr);
      RC_ASSERT(row->incarnation.value > first);
      if (is_killed) RC_ASSERT(row->state == member_state::kDead);
    }
  }
}

// Guards against traffic above the budget while members restart and drain.
RC_GTEST_PROP(MembershipProperty, BytesStayWithinBudget, ()) {
  const auto limit = *rc::gen::inRange<std::uint64_t>(500, 5000);
  member_net net(
      {.seed = *rc::gen::arbitrary<std::uint64_t>(), .loss = 0.05, .bytes_per_second = limit});
  net.StartAll(12);
  for (int round = 0; round < 6; ++round) {
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < 12; ++i) before.push_back(net.SentBytes(i));
    net.RunFor(seconds(10));
    for (std::size_t i = 0; i < 12; ++i) {
      // The burst is the budget of one second, or one full datagram if that is larger.
      RC_ASSERT(net.SentBytes(i) - before[i] <=
                10 * limit + std::max<std::uint64_t>(limit, 1228));
    }
    net.Start(*rc::gen::inRange<std::size_t>(0, 12));
    net.at(*rc::gen::inRange<std::size_t>(0, 12)).Drain(net.now());
  }
}

}  // namespace
}  // namespace bronzeroute
