#include "src/routing/routing_system.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/membership/member_row.h"
#include "src/routing/choice_summary.h"
#include "src/routing/member_subset.h"
#include "src/routing/policy_least_reported.h"
#include "src/routing/policy_random.h"
#include "src/routing/policy_round_robin.h"
#include "src/routing/policy_two_choices.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr incarnation_id kIncarnation{7};

time_point At(duration since_start) { return time_point() + seconds(100) + since_start; }

member_row Member(std::uint64_t id, const std::string& zone = "a",
                  const std::string& region = "north") {
  member_row row;
  row.id = member_id{id};
  row.incarnation = kIncarnation;
  row.service = "orders";
  row.region = region;
  row.availability_zone = zone;
  return row;
}

load_hint Hint(std::uint64_t sequence, std::uint32_t in_use) {
  load_hint hint;
  hint.sequence = sequence;
  hint.effective_slots = 6;
  hint.in_use = in_use;
  hint.service_time_us = 5000;
  return hint;
}

template <typename Policy>
class routing_harness {
 public:
  explicit routing_harness(std::vector<member_row> members, std::uint64_t own = 1000)
      : members_(std::move(members)), own_(own) {
    spec_.name = "orders";
    Announce(At({}));
  }

  void Announce(time_point now) {
    system_.OnMembers(members_, member_id{own_}, "north", "a", now);
  }
  void Report(std::uint64_t id, const load_hint& hint, time_point now = At({})) {
    system_.OnHint(member_id{id}, kIncarnation, hint, now);
  }
  choice_result Choose(time_point now = At({}), const choice_request& request = {},
                       const std::vector<member_id>& excluded = {}) {
    return system_.Choose(spec_, request, excluded, now);
  }
  std::uint64_t Pick(time_point now = At({}), const choice_request& request = {}) {
    const choice_result result = Choose(now, request);
    return result.member ? result.member->value : 0;
  }
  /// Members chosen in `rounds` choices.
  std::set<std::uint64_t> Picks(int rounds, time_point now = At({}),
                                const choice_request& request = {}) {
    std::set<std::uint64_t> picks;
    for (int i = 0; i < rounds; ++i) picks.insert(Pick(now, request));
    return picks;
  }
  void End(std::uint64_t id, attempt_end outcome, time_point now, bool is_trial = false) {
    system_.OnAttemptSent(member_id{id}, is_trial, now);
    system_.OnAttemptEnded(member_id{id}, outcome, is_trial, now);
  }
  void Fail(std::uint64_t id, int count, time_point now) {
    for (int i = 0; i < count; ++i) End(id, attempt_end::kFailed, now);
  }

  service_spec spec_;
  std::vector<member_row> members_;
  std::uint64_t own_;
  routing_system<Policy> system_{1};
};

using default_harness = routing_harness<policy_two_choices>;
using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

// Guards against a choice without a reason when no member is eligible.
TEST(RoutingSystem, ExplainsWhyNoMemberWasChosen) {
  default_harness none({});
  EXPECT_EQ(none.Choose().explanation.reason, choice_reason::kNoMembers);
  default_harness one({Member(1)});
  const choice_result result = one.Choose(At({}), {}, {member_id{1}});
  EXPECT_FALSE(result.member.has_value());
  EXPECT_EQ(result.explanation.reason, choice_reason::kNoEligibleMember);
  EXPECT_THAT(result.explanation.ToText(), HasSubstr("already tried"));
}

// Guards against an explanation without the score and disposition of each member.
TEST(RoutingSystem, ExplanationNamesEveryMemberWithItsScore) {
  default_harness pair({Member(1), Member(2, "b")});
  pair.Report(1, Hint(1, 12));
  pair.Report(2, Hint(1, 0));
  const choice_result result = pair.Choose();
  EXPECT_EQ(result.member, member_id{2});
  const std::string text = result.explanation.ToText();
  EXPECT_THAT(text, HasSubstr("service orders, policy two_choices"));
  EXPECT_THAT(text, HasSubstr("0000000000000001, same zone: not selected; score 11033 us"));
  EXPECT_THAT(text, HasSubstr("0000000000000002, same region: chosen; score 7800 us"));
}

// Guards against a reordered or outdated hint that replaces a newer one.
TEST(RoutingSystem, IgnoresOlderHintsAndEarlierIncarnations) {
  default_harness pair({Member(1), Member(2)});
  pair.Report(2, Hint(1, 3));
  pair.Report(1, Hint(5, 12));
  pair.Report(1, Hint(4, 0));
  pair.Report(1, Hint(0, 0));  // A message without a hint.
  pair.system_.OnHint(member_id{1}, incarnation_id{6}, Hint(9, 0), At({}));
  EXPECT_THAT(pair.Picks(50), ElementsAre(2));
}

// Guards against ignoring the hints of a restarted owner, whose sequence starts again at 1.
TEST(RoutingSystem, NewIncarnationStartsWithNewHints) {
  default_harness pair({Member(1), Member(2)});
  pair.Report(1, Hint(500, 12));
  pair.Report(2, Hint(1, 7));
  pair.members_[0].incarnation = incarnation_id{8};
  pair.Announce(At({}));
  pair.system_.OnHint(member_id{1}, incarnation_id{8}, Hint(1, 0), At({}));
  EXPECT_THAT(pair.Picks(50), ElementsAre(1));
}

// Guards against sending all calls to the upstream that was idle in the last hint.
TEST(RoutingSystem, OwnOpenAttemptsCountUntilTheNextHint) {
  default_harness pair({Member(1), Member(2)});
  pair.Report(1, Hint(1, 0));
  pair.Report(2, Hint(1, 6));
  ASSERT_EQ(pair.Pick(), 1);
  for (int i = 0; i < 12; ++i) pair.system_.OnAttemptSent(member_id{1}, false, At({}));
  EXPECT_EQ(pair.Pick(), 2);
}

// Guards against a burst of issued keys that all name the same idle member, to which their
// calls are then bound.
TEST(RoutingSystem, IssuedKeysCountUntilTheNextHint) {
  default_harness pair({Member(1), Member(2)});
  pair.Report(1, Hint(1, 0));
  pair.Report(2, Hint(1, 6));
  ASSERT_EQ(pair.Pick(), 1);
  for (int i = 0; i < 12; ++i) pair.system_.OnWorkExpected(member_id{1}, At({}));
  EXPECT_EQ(pair.Pick(), 2);
}

// Guards against a hint that resets the count of attempts still in flight, so that too many are
// sent.
TEST(RoutingSystem, HintKeepsAttemptsThatItCannotInclude) {
  default_harness pair({Member(1, "b"), Member(2, "b")});
  pair.Report(2, Hint(1, 6));
  for (int i = 0; i < 12; ++i) pair.system_.OnAttemptSent(member_id{1}, false, At({}));
  pair.Report(1, Hint(1, 0), At(duration(2799)));
  EXPECT_EQ(pair.Pick(At(duration(2799))), 2) << "sent less than a round trip ago";
  pair.Report(1, Hint(2, 0), At(duration(2800)));
  EXPECT_EQ(pair.Pick(At(duration(2800))), 1);
}

// Guards against an old hint of an idle upstream that attracts all work for seconds.
TEST(RoutingSystem, OldHintsApproachTheMeanOfTheService) {
  default_harness pair({Member(1), Member(2)});
  pair.Report(1, Hint(1, 0));
  pair.Report(2, Hint(1, 12), At(milliseconds(900)));
  EXPECT_EQ(pair.Pick(At(milliseconds(100))), 1);
  const choice_result later = pair.Choose(At(seconds(2)));
  ASSERT_EQ(later.explanation.candidates.size(), 2);
  EXPECT_DOUBLE_EQ(later.explanation.candidates[0].cost.wait,
                   later.explanation.candidates[1].cost.wait);
}

// Guards against unnecessary hops and unnecessary traffic between regions.
TEST(RoutingSystem, FartherMembersAreChosenOnlyWithALowerScore) {
  default_harness set({Member(1, "a", "north"), Member(2, "c", "south")});
  set.Report(2, Hint(1, 0));
  set.Report(1, Hint(1, 10));  // 5 * 5 ms / 6 slots = 4.2 ms, below the round trip of 24 ms.
  EXPECT_EQ(set.Pick(), 1);
  set.Report(1, Hint(2, 60));  // 46 ms
  EXPECT_EQ(set.Pick(), 2);
  choice_request upload;
  upload.content_length = 2 << 20;  // 42 ms for its bytes
  EXPECT_EQ(set.Pick(At({}), upload), 1);
}

// Guards against a hop to another instance while the own upstream has a free slot.
TEST(RoutingSystem, OwnUpstreamIsChosenWhileItHasAFreeSlot) {
  default_harness set({Member(1), Member(2), Member(3)}, 2);
  for (std::uint64_t id = 1; id <= 3; ++id) set.Report(id, Hint(1, id == 2 ? 5 : 0));
  EXPECT_EQ(set.Choose().explanation.reason, choice_reason::kOwnUpstreamFree);
  EXPECT_THAT(set.Picks(20), ElementsAre(2));
  set.system_.OnAttemptSent(member_id{2}, false, At({}));
  EXPECT_NE(set.Choose().explanation.reason, choice_reason::kOwnUpstreamFree);
}

// Guards against long requests that accumulate at one upstream and occupy its slots.
TEST(RoutingSystem, LongWorkAvoidsMembersThatRunLongWork) {
  default_harness pair({Member(1), Member(2, "b")}, 1);
  load_hint busy = Hint(1, 1);
  busy.running_long = 1;
  pair.Report(1, busy);
  pair.Report(2, Hint(1, 4));
  choice_request upload;
  upload.is_long = true;
  EXPECT_THAT(pair.Picks(20, At({}), upload), ElementsAre(2));
  EXPECT_THAT(pair.Picks(20), ElementsAre(1));
}

// Guards against preferring a slow upstream, also the own one, for its free slots, and against
// avoiding it because of a single hint.
TEST(RoutingSystem, MembersThatStaySlowAreAvoided) {
  default_harness pair({Member(1), Member(2, "b")}, 1);
  load_hint slow = Hint(1, 0);
  pair.Report(1, Hint(1, 0));
  pair.Report(2, Hint(1, 0));
  slow.service_time_us = 20'000;
  slow.sequence = 2;
  pair.Report(1, slow, At(milliseconds(5)));
  EXPECT_EQ(pair.Pick(At(milliseconds(5))), 1);
  slow.sequence = 3;
  pair.Report(1, slow, At(milliseconds(500)));
  pair.Report(2, Hint(2, 0), At(milliseconds(500)));
  EXPECT_EQ(pair.Pick(At(milliseconds(500))), 2);
}

// Guards against an upstream that was slow at its last work and gets none again, since only
// work would show that it is fast.
TEST(RoutingSystem, MemberThatWasSlowAtItsLastWorkIsTriedAgain) {
  default_harness pair({Member(1), Member(2)});
  load_hint slow = Hint(1, 1);
  slow.service_time_us = 1'000'000;
  pair.Report(1, slow);
  std::set<std::uint64_t> picks;
  for (std::uint64_t tenth = 1; tenth <= 100; ++tenth) {
    const time_point now = At(milliseconds(100) * tenth);
    slow.sequence = tenth + 1;
    slow.in_use = 0;
    pair.Report(1, slow, now);
    pair.Report(2, Hint(tenth, 0), now);
    const std::uint64_t picked = pair.Pick(now);
    EXPECT_TRUE(picked == 2 || tenth > 40) << "tried after " << tenth << " tenths of a second";
    pair.End(picked, attempt_end::kCompleted, now);
    picks.insert(picked);
    if (picked == 1) break;
  }
  EXPECT_THAT(picks, ElementsAre(1, 2));
}

// Guards against sending to an upstream whose named limit leaves no start for a while, and
// against leaving it unused once it has one.
TEST(RoutingSystem, MembersAtTheirNamedLimitAreAvoidedUntilTheNextStart) {
  default_harness pair({Member(1), Member(2, "b")}, 1);
  load_hint limited = Hint(1, 0);
  limited.max_rate = 10;
  limited.start_wait_us = 90'000;
  pair.Report(1, limited);
  pair.Report(2, Hint(1, 0));
  EXPECT_EQ(pair.Pick(At(milliseconds(50))), 2);
  EXPECT_EQ(pair.Pick(At(milliseconds(95))), 1);
}

// Guards against a rate from a peer that makes costs infinite or undefined.
TEST(RoutingSystem, ARateThatIsNoNumberIsNoLimit) {
  EXPECT_EQ(SoundRate(std::numeric_limits<float>::quiet_NaN()), 0);
  EXPECT_EQ(SoundRate(std::numeric_limits<float>::infinity()), 0);
  EXPECT_EQ(SoundRate(-1), 0);
  EXPECT_EQ(SoundRate(2.5F), 2.5F);
}

// Guards against choosing draining or suspect members or members outside the allowed regions.
TEST(RoutingSystem, AvoidsDrainingSuspectAndForeignMembers) {
  default_harness set({Member(1), Member(2), Member(3), Member(4, "c", "south"), Member(5)});
  set.members_[0].draining = true;
  set.members_[1].state = member_state::kSuspect;
  set.spec_.regions = {"north"};
  set.Announce(At({}));
  load_hint leaving = Hint(1, 0);
  leaving.draining = true;
  set.Report(5, leaving);
  EXPECT_THAT(set.Picks(30), ElementsAre(3));
  set.members_[2].state = member_state::kDead;
  set.Announce(At({}));
  EXPECT_THAT(set.Picks(30), ElementsAre(2)) << "a suspect is better than none";
}

choice_request Within(std::vector<std::string> regions) {
  choice_request request;
  request.regions = region_limit(std::move(regions));
  return request;
}

// Guards against a request that leaves the regions of its route or account, and against an
// explanation that does not say why a member was passed over.
TEST(RoutingSystem, ChoosesOnlyMembersInTheRegionsOfTheRequest) {
  default_harness set({Member(1), Member(2, "c", "south"), Member(3, "d", "east")}, 1);
  for (std::uint64_t id = 1; id <= 3; ++id) set.Report(id, Hint(1, id == 2 ? 60 : 0));
  EXPECT_THAT(set.Picks(30, At({}), Within({"south"})), ElementsAre(2));
  EXPECT_THAT(set.Picks(30, At({}), Within({"south", "east"})), ElementsAre(3));
  const choice_result chosen = set.Choose(At({}), Within({"south", "east"}));
  EXPECT_THAT(
      chosen.explanation.ToText(),
      HasSubstr("same instance: outside the regions allowed for the request (south, east)"));
  EXPECT_THAT(choice_summary(chosen.explanation).ToText("orders"),
              HasSubstr("outside the regions allowed for the request (south, east)"));
  const choice_result none = set.Choose(At({}), Within({}));
  EXPECT_FALSE(none.member.has_value());
  EXPECT_EQ(none.explanation.reason, choice_reason::kNoEligibleMember);
  EXPECT_THAT(none.explanation.ToText(), HasSubstr("(none)"));
  EXPECT_FALSE(set.Choose(At({}), Within({"south"}), {member_id{2}}).member.has_value());
}

// Guards against a refusal while members in an allowed region exist that are not in the subset
// of this entry.
TEST(RoutingSystem, RegionsOfTheRequestReachMembersOutsideTheSubset) {
  std::vector<member_row> members;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    members.push_back(Member(id, "c", id == 40 ? "east" : "south"));
  }
  // An entry whose subset does not contain the only member in the east.
  std::uint64_t own = 1000;
  while (default_harness(members, own).system_.IsPreferred(member_id{40})) ++own;
  default_harness set(members, own);
  EXPECT_THAT(set.Picks(20, At({}), Within({"east"})), ElementsAre(40));
}

// Guards against ejections of the only allowed members: half of them stay in use, however many
// members there are elsewhere.
TEST(RoutingSystem, AtMostHalfOfTheAllowedMembersStayEjected) {
  default_harness set({Member(1), Member(2), Member(3), Member(4), Member(5, "c", "south"),
                       Member(6, "c", "south")});
  set.Fail(5, 5, At({}));
  set.Fail(6, 5, At({}));
  ASSERT_EQ(set.system_.StateOf(member_id{6}, At({})), ejection_state::kEjected);
  const std::set<std::uint64_t> picks = set.Picks(20, At({}), Within({"south"}));
  EXPECT_EQ(picks.size(), 1U);
  EXPECT_TRUE(picks.contains(5) || picks.contains(6));
}

// Guards against an upstream that fails fast and attracts all work because it is idle.
TEST(RoutingSystem, FailingMemberIsAvoidedAndThenEjected) {
  default_harness set({Member(1), Member(2), Member(3), Member(4)});
  for (std::uint64_t id = 1; id <= 4; ++id) set.Report(id, Hint(1, id == 1 ? 0 : 7));
  set.Fail(1, 3, At({}));
  EXPECT_THAT(set.Picks(50), Not(Contains(1))) << "before the ejection already";
  set.Fail(1, 2, At({}));
  EXPECT_EQ(set.system_.StateOf(member_id{1}, At({})), ejection_state::kEjected);
  EXPECT_THAT(set.Picks(50, At(milliseconds(999))), Not(Contains(1)));
}

// Guards against protected requests as trials while other requests arrive, and against
// concurrent trials of a member.
TEST(RoutingSystem, EjectedMemberReturnsThroughOneUnprotectedTrial) {
  default_harness pair({Member(1), Member(2)});
  pair.Fail(1, 5, At({}));
  choice_request order;
  order.is_protected = true;
  EXPECT_THAT(pair.Picks(20, At(seconds(1)), order), ElementsAre(2));
  const choice_result trial = pair.Choose(At(seconds(1)));
  ASSERT_EQ(trial.member, member_id{1});
  EXPECT_TRUE(trial.is_trial);
  EXPECT_EQ(trial.explanation.reason, choice_reason::kTrialCall);
  pair.system_.OnAttemptSent(member_id{1}, true, At(seconds(1)));
  EXPECT_THAT(pair.Picks(20, At(seconds(1))), ElementsAre(2)) << "the trial is open";
  pair.system_.OnAttemptEnded(member_id{1}, attempt_end::kFailed, true, At(seconds(1)));
  EXPECT_THAT(pair.Picks(20, At(milliseconds(2999))), ElementsAre(2)) << "2 s now";
  pair.End(1, attempt_end::kCompleted, At(seconds(3)), true);
  EXPECT_EQ(pair.system_.StateOf(member_id{1}, At(seconds(3))), ejection_state::kClear);
}

// Guards against a member of a service with protected requests only that an entry never uses
// again after failures.
TEST(RoutingSystem, EjectedMemberReturnsThroughAProtectedTrialIfNoOtherRequestArrives) {
  default_harness pair({Member(1), Member(2)});
  pair.Fail(1, 5, At({}));
  choice_request order;
  order.is_protected = true;
  EXPECT_THAT(pair.Picks(20, At(milliseconds(1999)), order), ElementsAre(2));
  const choice_result trial = pair.Choose(At(seconds(2)), order);
  ASSERT_EQ(trial.member, member_id{1});
  EXPECT_TRUE(trial.is_trial);
  pair.system_.OnAttemptSent(member_id{1}, true, At(seconds(2)));
  EXPECT_THAT(pair.Picks(20, At(seconds(9)), order), ElementsAre(2)) << "the trial is open";
  pair.system_.OnAttemptEnded(member_id{1}, attempt_end::kCompleted, true, At(seconds(9)));
  EXPECT_EQ(pair.system_.StateOf(member_id{1}, At(seconds(9))), ejection_state::kClear);
}

// Guards against ejecting all members of a service after a fault that affects each of them.
TEST(RoutingSystem, AtMostHalfOfAServiceIsEjected) {
  default_harness set({Member(1), Member(2), Member(3), Member(4), Member(5)});
  for (std::uint64_t id = 1; id <= 5; ++id) set.Fail(id, 8, At({}));
  EXPECT_THAT(set.Picks(200), ElementsAre(3, 4, 5));
  EXPECT_EQ(set.system_.StateOf(member_id{2}, At({})), ejection_state::kEjected);
  EXPECT_EQ(set.system_.StateOf(member_id{3}, At({})), ejection_state::kClear);
  set.members_.resize(3);  // With three members left, only one may stay ejected.
  set.Announce(At({}));
  EXPECT_THAT(set.Picks(200), ElementsAre(2, 3));
}

// Guards against entries that keep sending to an upstream that its owner has ejected.
TEST(RoutingSystem, OwnerEjectionIsFollowedAndEndsWithItsHint) {
  default_harness pair({Member(1), Member(2)});
  load_hint hint = Hint(1, 0);
  hint.failing = true;
  pair.Report(1, hint);
  pair.Report(2, Hint(1, 8));
  EXPECT_THAT(pair.Picks(20), ElementsAre(2));
  EXPECT_EQ(pair.system_.StateOf(member_id{1}, At({})), ejection_state::kEjected);
  pair.Report(1, Hint(2, 0));
  EXPECT_THAT(pair.Picks(20), ElementsAre(1));
}

// Guards against an entry that spreads its calls over all members of a large service, with a
// channel to each and a hint of none that is fresh.
TEST(RoutingSystem, ALargeServiceIsServedByABoundedSubset) {
  std::vector<member_row> members;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    members.push_back(Member(id, id % 2 == 0 ? "a" : "b", id % 4 < 2 ? "north" : "south"));
  }
  default_harness set(members);
  const std::size_t limit = SubsetLimit(distance::kSameZone) +
                            SubsetLimit(distance::kSameRegion) +
                            SubsetLimit(distance::kOtherRegion);
  EXPECT_EQ(set.Choose().explanation.candidates.size(), limit);
  const std::set<std::uint64_t> picks = set.Picks(2000);
  EXPECT_LE(picks.size(), limit);
  for (const std::uint64_t id : picks) {
    EXPECT_TRUE(set.system_.IsPreferred(member_id{id})) << id;
  }
}

// Guards against a call that is refused although members outside of the subset could serve it.
TEST(RoutingSystem, OtherMembersServeWhileNoneOfTheSubsetCan) {
  std::vector<member_row> members;
  for (std::uint64_t id = 1; id <= 100; ++id) members.push_back(Member(id));
  default_harness set(members);
  std::vector<member_id> subset;
  for (member_row& row : set.members_) {
    if (!set.system_.IsPreferred(row.id)) continue;
    subset.push_back(row.id);
    row.state = member_state::kSuspect;
  }
  const choice_result other = set.Choose(At({}), {}, subset);
  ASSERT_TRUE(other.member.has_value());
  EXPECT_FALSE(set.system_.IsPreferred(*other.member));
  set.Announce(At({}));
  for (const std::uint64_t id : set.Picks(100)) {
    EXPECT_FALSE(set.system_.IsPreferred(member_id{id})) << id;
  }
}

// Guards against a subset that keeps members which are gone.
TEST(RoutingSystem, MembersThatAreGoneAreReplacedInTheSubset) {
  std::vector<member_row> members;
  for (std::uint64_t id = 1; id <= 100; ++id) members.push_back(Member(id));
  default_harness set(members);
  for (member_row& row : set.members_) {
    if (set.system_.IsPreferred(row.id)) row.state = member_state::kDead;
  }
  set.Announce(At({}));
  EXPECT_EQ(set.Choose().explanation.candidates.size(), SubsetLimit(distance::kSameZone));
}

// Guards against baseline policies that do not implement the rule in their name.
TEST(RoutingSystem, BaselinePoliciesPickByTheirRule) {
  routing_harness<policy_round_robin> round_robin({Member(1), Member(2), Member(3)});
  EXPECT_EQ(round_robin.Pick(), 1);
  EXPECT_EQ(round_robin.Pick(), 2);
  EXPECT_EQ(round_robin.Pick(), 3);
  EXPECT_EQ(round_robin.Pick(), 1);
  routing_harness<policy_random> random({Member(1), Member(2), Member(3)});
  EXPECT_THAT(random.Picks(100), ElementsAre(1, 2, 3));
  routing_harness<policy_least_reported> least({Member(1), Member(2), Member(3)});
  least.Report(1, Hint(1, 5));
  least.Report(2, Hint(1, 2));
  least.Report(3, Hint(1, 4));
  EXPECT_THAT(least.Picks(20), ElementsAre(2));
}

struct event {
  std::uint32_t kind = 0;
  std::uint32_t member = 0;
  std::uint32_t value = 0;
};

void showValue(const event& item, std::ostream& out) {
  out << item.kind << '/' << item.member << '/' << item.value;
}

// Guards, under any order of events, against a choice of an excluded or draining member, a
// protected trial before other requests had their time for it, two open trials at one member,
// and a refusal while a member is usable.
TEST(RoutingProperty, ChoosesOnlyPermittedMembersInAnyOrderOfEvents) {
  EXPECT_TRUE(rc::check("routing", [] {
    const auto any_event =
        rc::gen::build<event>(rc::gen::set(&event::kind, rc::gen::inRange(0U, 6U)),
                              rc::gen::set(&event::member, rc::gen::inRange(1U, 7U)),
                              rc::gen::set(&event::value, rc::gen::inRange(0U, 1'000'000U)));
    const auto events = *rc::gen::scale(4, rc::gen::container<std::vector<event>>(any_event));
    default_harness set({Member(1), Member(2), Member(3, "b"), Member(4, "b"),
                         Member(5, "c", "south"), Member(6, "d", "south")});
    std::map<std::uint64_t, std::vector<bool>> open;
    time_point now = At({});
    std::uint64_t sequence = 0;
    for (const event& item : events) {
      const std::uint64_t id = item.member;
      switch (item.kind) {
        case 0:
          set.Report(id, Hint(++sequence, item.value % 12), now);
          break;
        case 1:
          set.members_[id - 1].draining = item.value % 3 == 0;
          set.Announce(now);
          break;
        case 2:
          now += duration(item.value);
          break;
        case 3:
          if (!open[id].empty()) {
            const bool is_trial = open[id].back();
            open[id].pop_back();
            set.system_.OnAttemptEnded(member_id{id}, static_cast<attempt_end>(item.value % 5),
                                       is_trial, now);
          }
          break;
        default: {
          choice_request request;
          request.is_protected = item.value % 2 == 0;
          const choice_result result = set.Choose(now, request, {member_id{id}});
          std::size_t serving = 0;
          std::size_t ejected = 0;
          bool has_clear_candidate = false;
          bool has_candidate = false;
          for (const member_row& row : set.members_) {
            if (row.draining) continue;
            const bool is_clear = set.system_.StateOf(row.id, now) == ejection_state::kClear;
            ++serving;
            if (!is_clear) ++ejected;
            has_candidate |= row.id.value != id;
            has_clear_candidate |= is_clear && row.id.value != id;
          }
          if (!result.member) {
            RC_ASSERT(!has_clear_candidate);
            RC_ASSERT(!has_candidate || ejected * 2 <= serving);
            break;
          }
          const std::uint64_t chosen_id = result.member->value;
          RC_ASSERT(chosen_id != id);
          RC_ASSERT(!set.members_[chosen_id - 1].draining);
          RC_ASSERT(!(result.is_trial && request.is_protected) ||
                    set.system_.StateOf(*result.member, now - ejection::kProtectedTrialDelay) ==
                        ejection_state::kTrialDue);
          std::vector<bool>& attempts = open[chosen_id];
          const auto trials = std::count(attempts.begin(), attempts.end(), true);
          RC_ASSERT(!result.is_trial || trials == 0);
          attempts.push_back(result.is_trial);
          set.system_.OnAttemptSent(*result.member, result.is_trial, now);
          break;
        }
      }
    }
  }));
}

}  // namespace
}  // namespace bronzeroute
