#include "src/accounts/usage_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "tests/accounts/usage_world.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double Allowed(const usage_cap& cap) { return (cap.rate_per_s * 5 + cap.burst) * 1.1 + 20; }

/// Tokens that live for their time from the reply instead of from the request.
struct expiry_from_reply {
  static time_point TokenExpiry(time_point, time_point received) {
    return received + kTokenLife;
  }
  static time_point MayDelegateFrom(time_point renewed) { return renewed + kDelegationHold; }
};

/// A share goes to another lender while the earlier one still lends it.
struct no_delegation_hold {
  static time_point TokenExpiry(time_point requested, time_point) {
    return requested + kTokenLife;
  }
  static time_point MayDelegateFrom(time_point renewed) { return renewed; }
};

struct scenario_result {
  double excess = 0;
  std::uint64_t granted = 0;
};

// Random requests far above the caps, with faults of all kinds.
template <typename Rules>
scenario_result RunFaults(std::uint64_t seed, double rate, double burst, duration max_delay) {
  const std::vector<usage_cap> caps = {{"a", rate, burst}, {"b", rate / 4, 0}};
  usage_world<Rules> world(6, caps, seed);
  world.lost_percent = static_cast<std::uint32_t>(world.Random(10));
  world.duplicated_percent = static_cast<std::uint32_t>(world.Random(10));
  world.returned_percent = static_cast<std::uint32_t>(world.Random(30));
  world.max_delay = max_delay;
  for (int step = 0; step < 60; ++step) {
    const auto at = static_cast<std::uint32_t>(world.Random(world.size()));
    switch (world.Random(10)) {
      case 0:
        world.Kill(at);
        break;
      case 1:
      case 2:
        for (std::uint32_t i = 0; i < world.size(); ++i) world.Start(i);
        break;
      case 3:
        world.Freeze(at, milliseconds(100 + world.Random(9000)));
        break;
      case 4:
        for (std::uint32_t i = 0; i < world.size(); ++i) {
          world.SetSide(i, static_cast<std::uint32_t>(world.Random(2)));
        }
        break;
      case 5:
        world.SetSide(at, 1 + at);
        break;
      case 6:
      case 7:
        for (std::uint32_t i = 0; i < world.size(); ++i) world.SetSide(i, 0);
        break;
      default:
        break;
    }
    // Load moves between the daemons, with idle times in which buckets fill.
    const std::uint64_t load = world.Random(3);
    const auto first = static_cast<std::uint32_t>(world.Random(world.size()));
    const std::uint64_t spread = 1 + world.Random(world.size());
    for (int i = 0; i < 100; ++i) {
      const std::uint64_t requests =
          load == 0 ? 0 : load * (1 + static_cast<std::uint64_t>(rate) / 50);
      for (std::uint64_t r = 0; r < requests; ++r) {
        const auto target =
            static_cast<std::uint32_t>((first + world.Random(spread)) % world.size());
        world.Request(target, world.Random(4) == 0 ? "b" : "a");
      }
      world.Run(milliseconds(20));
    }
  }
  const double excess = world.LargestExcess([&](const std::string& account, time_point) {
    return Allowed(account == "a" ? caps[0] : caps[1]);
  });
  return {excess, world.total().granted};
}

// Guards against any way in which daemons that are cut off, frozen, restarted or misinformed
// together exceed a cap: overlapping lenders, tokens used after their life, credit for time in
// which a share was elsewhere.
RC_GTEST_PROP(UsageLimiter, KeepsTheCapInEveryWindow, ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const double rate = *rc::gen::element(3.0, 20.0, 120.0);
  const double burst = *rc::gen::element(0.0, rate);
  const scenario_result result = RunFaults<usage_rules>(seed, rate, burst, milliseconds(12));
  RC_ASSERT(result.granted > 0U);
  RC_ASSERT(result.excess <= 0);
}

// The network splits in another way every second, and all daemons notice at once.
template <typename Rules>
double ExcessUnderChangingPartitions() {
  const usage_cap cap{"a", 120, 0};
  usage_world<Rules> world(6, {cap}, 3);
  world.max_detection = milliseconds(200);
  world.Run(seconds(8));
  for (int split = 0; split < 40; ++split) {
    for (std::uint32_t at = 0; at < world.size(); ++at) {
      world.SetSide(at, static_cast<std::uint32_t>(world.Random(3)));
    }
    for (int i = 0; i < 100; ++i) {
      for (std::uint32_t at = 0; at < world.size(); ++at) world.Request(at, "a");
      world.Run(milliseconds(10));
    }
  }
  return world.LargestExcess([&](const std::string&, time_point) { return Allowed(cap); });
}

// Guards against shares that two lenders use at a time: without the hold, a daemon delegates to
// a new lender while the earlier one still lends.
TEST(UsageLimiterFaults, MissingDelegationHoldIsDetected) {
  EXPECT_LE(ExcessUnderChangingPartitions<usage_rules>(), 0);
  EXPECT_GT(ExcessUnderChangingPartitions<no_delegation_hold>(), 0);
}

// Borrowers freeze one after the other, each after a request for tokens, and resume at the same
// time, less than a freeze gap after the first. Then the load is far above the cap.
template <typename Rules>
double ExcessAfterShortFreezes() {
  using world_type = usage_world<Rules>;
  // Small enough that daemons have no base quota, which would be used first.
  const usage_cap cap{"a", 900, 0};
  constexpr std::uint32_t kDaemons = 46;
  world_type world(kDaemons, {cap}, 7);
  std::vector<member_id> live;
  for (std::uint32_t at = 0; at < kDaemons; ++at) live.push_back(world_type::Id(at));
  const member_id lender = UsageLenderOf(UsageGroupOf(cap.account), live);
  world.Run(seconds(8));
  for (std::uint32_t step = 0; step < kDaemons + 30; ++step) {
    // Requests that do not wait are refused, but let the daemon expect as many later.
    for (int i = 0; i < 40 && step < kDaemons; ++i) world.Request(step, "a", duration(0));
    if (step >= 30 && world_type::Id(step - 30) != lender) {
      world.Request(step - 30, "a");
      world.Freeze(step - 30, milliseconds(20) * (kDaemons + 30 - step));
    }
    world.Run(milliseconds(20));
  }
  for (int i = 0; i < 300; ++i) {
    for (std::uint32_t at = 0; at < kDaemons; ++at) {
      world.Request(at, "a");
      world.Request(at, "a");
    }
    world.Run(milliseconds(20));
  }
  return world.LargestExcess([&](const std::string&, time_point) { return Allowed(cap); });
}

// Guards against a life of tokens that starts with the reply: a daemon that reads the reply
// late would use tokens that its lender counts as expired.
TEST(UsageLimiterFaults, ExpiryFromReplyIsDetected) {
  EXPECT_LE(ExcessAfterShortFreezes<usage_rules>(), 0);
  EXPECT_GT(ExcessAfterShortFreezes<expiry_from_reply>(), 0);
}

// Guards against tokens, buckets or delegations that outlive a lowered cap.
TEST(UsageLimiter, LoweredCapHoldsOneWindowAfterThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const usage_cap high{"a", 200, 200};
    const usage_cap low{"a", 10, 0};
    usage_world<usage_rules> world(6, {high}, seed);
    const auto load = [&world](int steps) {
      for (int i = 0; i < steps; ++i) {
        for (std::uint32_t at = 0; at < world.size(); ++at) world.Request(at, "a");
        world.Run(milliseconds(10));
      }
    };
    world.Run(seconds(8));
    load(200);
    const time_point version_at = world.now();
    world.SetStoredCaps({low});
    std::vector<int> steps;
    for (std::uint32_t at = 0; at < world.size(); ++at) {
      steps.push_back(static_cast<int>(world.Random(300)));
    }
    for (int i = 0; i < 300; ++i) {
      for (std::uint32_t at = 0; at < world.size(); ++at) {
        if (steps[at] == i) world.SetCaps(at, {low});
      }
      load(1);
    }
    world.Kill(0);
    load(50);
    world.Start(0);
    load(1500);
    const double excess = world.LargestExcess([&](const std::string&, time_point end) {
      return Allowed(end < version_at + seconds(8) ? high : low);
    });
    EXPECT_LE(excess, 0) << seed;
  }
}

// Guards against a deployment that starts again as a whole and refuses its accounts for longer
// than it needs to know its members, and against a daemon that uses its share although a member
// may still lend what an earlier incarnation delegated.
TEST(UsageLimiterStart, WaitsForEarlierDelegationsOnlyIfAMemberMayHoldThem) {
  const member_id self{1};
  const std::vector<member_id> live = {self, member_id{2}};
  for (const bool all_started_anew : {false, true}) {
    time_point now = time_point() + seconds(100);
    usage_limiter limiter(self, 1, now);
    limiter.SetMembers(live, 2, all_started_anew, now);
    now += milliseconds(900);
    limiter.SetMembers(live, 2, all_started_anew, now);
    EXPECT_TRUE(limiter.is_starting());
    now += milliseconds(200);
    limiter.SetMembers(live, 2, all_started_anew, now);
    EXPECT_EQ(limiter.is_starting(), !all_started_anew);
    now += seconds(2);
    limiter.SetMembers(live, 2, all_started_anew, now);
    EXPECT_FALSE(limiter.is_starting());
  }
}

// A limiter whose only other member may lend.
class UsageMessagesTest : public ::testing::Test {
 protected:
  UsageMessagesTest() : limiter_(self_, 100, now_) {
    limiter_.SetCaps(caps_, now_);
    const std::vector<member_id> live = {self_, other_};
    limiter_.SetMembers(live, 2, false, now_);
    // An account that the other member lends.
    for (int i = 0; account_.empty(); ++i) {
      const std::string name = "a" + std::to_string(i);
      if (UsageLenderOf(UsageGroupOf(name), live) == other_) account_ = name;
    }
    limiter_.SetCaps(std::vector<usage_cap>{{account_, 10, 0}}, now_);
  }

  usage_decision Acquire(std::uint64_t waiter) {
    return limiter_.Acquire(account_, waiter, now_ + milliseconds(150), now_);
  }
  /// The reply of the other member to the request sent last.
  usage_message Reply(std::uint32_t tokens) {
    const std::vector<usage_message> sent = limiter_.TakeMessages();
    EXPECT_EQ(sent.size(), 1U);
    if (sent.size() != 1) return {};
    return {.type = usage_message::kind::kReply,
            .peer = other_,
            .sequence = sent[0].sequence,
            .account = sent[0].account,
            .tokens = tokens};
  }
  void Advance(duration time) {
    now_ += time;
    limiter_.Tick(now_);
  }

  const member_id self_{1};
  const member_id other_{2};
  std::vector<usage_cap> caps_;
  std::string account_;
  time_point now_{seconds(1000)};
  usage_limiter limiter_;
};

TEST_F(UsageMessagesTest, AccountWithoutCapNeverWaits) {
  EXPECT_EQ(limiter_.Acquire("uncapped", 1, now_, now_).state, usage_state::kGranted);
  EXPECT_TRUE(limiter_.TakeMessages().empty());
}

TEST_F(UsageMessagesTest, LostRequestIsSentAgainAndTheOldReplyIsDropped) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  const usage_message lost = Reply(1);
  Advance(milliseconds(60));
  const usage_message reply = Reply(1);
  limiter_.OnMessage(lost, now_);
  EXPECT_EQ(limiter_.ignored_messages(), 1U);
  EXPECT_TRUE(limiter_.TakeResults().empty());
  limiter_.OnMessage(reply, now_);
  ASSERT_EQ(limiter_.TakeResults().size(), 1U);
  // A duplicate of the reply brings no second token.
  limiter_.OnMessage(reply, now_);
  EXPECT_EQ(limiter_.ignored_messages(), 2U);
  EXPECT_EQ(Acquire(2).state, usage_state::kPending);
}

TEST_F(UsageMessagesTest, WithoutReplyTheRequestIsDeniedWhenItsWaitEnds) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  for (int i = 0; i < 15; ++i) Advance(milliseconds(10));
  const auto results = limiter_.TakeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].decision.state, usage_state::kDenied);
  EXPECT_GT(results[0].decision.retry_at, now_);
}

// Guards against a message for each request of an account that is far above its cap.
TEST_F(UsageMessagesTest, DenialIsKeptForItsTime) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  usage_message denial = Reply(0);
  denial.wait = milliseconds(400);
  limiter_.OnMessage(denial, now_);
  ASSERT_EQ(limiter_.TakeResults().size(), 1U);
  const usage_decision next = Acquire(2);
  EXPECT_EQ(next.state, usage_state::kDenied);
  EXPECT_GE(next.retry_at, now_ + milliseconds(400));
  EXPECT_TRUE(limiter_.TakeMessages().empty());
}

TEST_F(UsageMessagesTest, ReturnedTokenServesTheNextRequestUntilItExpires) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  limiter_.OnMessage(Reply(1), now_);
  const time_point expires = limiter_.TakeResults().at(0).decision.expires;
  EXPECT_EQ(expires, now_ + kTokenLife);
  limiter_.Return(account_, expires, now_);
  EXPECT_EQ(Acquire(2).state, usage_state::kGranted);
  limiter_.Return(account_, expires, now_);
  Advance(kTokenLife);
  EXPECT_EQ(Acquire(3).state, usage_state::kPending);
}

TEST_F(UsageMessagesTest, CancelledRequestGetsNoResultAndItsTokenIsKept) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  limiter_.Cancel(account_, 1);
  limiter_.OnMessage(Reply(1), now_);
  EXPECT_TRUE(limiter_.TakeResults().empty());
  EXPECT_EQ(Acquire(2).state, usage_state::kGranted);
}

TEST_F(UsageMessagesTest, FreezeDropsHeldTokens) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  limiter_.Cancel(account_, 1);
  limiter_.OnMessage(Reply(5), now_);
  now_ += kUsageFreezeGap + milliseconds(1);
  EXPECT_EQ(Acquire(2).state, usage_state::kPending);
}

// Guards against lenders that lend before they have shares: after a restart, or under a wrong
// view of the members.
TEST_F(UsageMessagesTest, LenderWithoutDelegationsLendsNothing) {
  limiter_.OnMessage({.type = usage_message::kind::kRequest,
                      .peer = other_,
                      .sequence = 9,
                      .account = account_,
                      .tokens = 4},
                     now_);
  const usage_message reply = Reply(0);
  EXPECT_EQ(reply.sequence, 9U);
}

TEST_F(UsageMessagesTest, MalformedMessagesAreIgnoredAndCounted) {
  limiter_.OnMessage({.type = usage_message::kind::kRequest, .peer = other_, .tokens = 4},
                     now_);
  limiter_.OnMessage({.type = usage_message::kind::kReply,
                      .peer = other_,
                      .account = std::string(300, 'x'),
                      .tokens = 4},
                     now_);
  limiter_.OnMessage({.peer = self_, .groups = 1, .members = 1}, now_);
  EXPECT_EQ(limiter_.ignored_messages(), 3U);
  EXPECT_TRUE(limiter_.TakeMessages().empty());
}

TEST_F(UsageMessagesTest, RemovedCapEndsTheWait) {
  EXPECT_EQ(Acquire(1).state, usage_state::kPending);
  limiter_.SetCaps({}, now_);
  const auto results = limiter_.TakeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].decision.state, usage_state::kGranted);
}

struct load_result {
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  std::uint64_t messages = 0;
  double granted_per_s = 0;
};

// Requests of one account at `load` times its rate, in clumps of `clump` at random daemons.
load_result RunLoad(const usage_cap& cap, std::uint32_t daemons, double load,
                    std::uint32_t clump) {
  usage_world<usage_rules> world(daemons, {cap}, 11);
  world.Run(seconds(8));
  const auto before = world.total();
  const std::uint64_t steps = cap.rate_per_s > 100 ? 1500 : 6000;
  // Requests are due with a probability per step, in parts of a million.
  const double per_step = cap.rate_per_s * load / clump / 100;
  for (std::uint64_t i = 0; i < steps; ++i) {
    double due = per_step;
    for (; due > 0; due -= 1) {
      if (static_cast<double>(world.Random(1'000'000)) >= due * 1e6) continue;
      const auto at = static_cast<std::uint32_t>(world.Random(daemons));
      for (std::uint32_t r = 0; r < clump; ++r) world.Request(at, cap.account);
    }
    world.Run(milliseconds(10));
  }
  world.Run(seconds(1));
  return {.sent = world.total().sent - before.sent,
          .refused = world.total().refused - before.refused,
          .messages = world.total().messages - before.messages,
          .granted_per_s = static_cast<double>((world.total().granted - before.granted) * 100) /
                           static_cast<double>(steps)};
}

// Guards against refusals of accounts that stay below their caps: tokens that expire unused, or
// that are at other daemons.
TEST(UsageLimiterLoad, UsualDemandIsNotRefused) {
  for (const usage_cap& cap :
       {usage_cap{"small", 1.6, 1.6}, usage_cap{"small", 1.6, 0}, usage_cap{"middle", 16, 0},
        usage_cap{"large", 350, 350}, usage_cap{"large", 350, 0}}) {
    for (const std::uint32_t clump : {1U, 3U}) {
      const load_result result = RunLoad(cap, 62, 1 / 1.6, clump);
      EXPECT_GT(result.sent, 30U);
      EXPECT_LE(result.refused * 200, result.sent) << cap.rate_per_s << " " << cap.burst;
    }
  }
}

// Guards against a cap that can't be used: an account above its cap gets most of it.
TEST(UsageLimiterLoad, AccountAboveItsCapGetsMostOfIt) {
  for (const usage_cap& cap :
       {usage_cap{"small", 3, 0}, usage_cap{"middle", 16, 16}, usage_cap{"large", 350, 350}}) {
    for (const double load : {1.0, 2.0, 7.0}) {
      const load_result result = RunLoad(cap, 62, load, 1);
      EXPECT_GE(result.granted_per_s, 0.85 * cap.rate_per_s);
    }
  }
}

}  // namespace
}  // namespace bronzeroute
