#include "src/admission/account_shares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

account_spec Account(const std::string& name, double rate_per_s) {
  account_spec account;
  account.name = name;
  account.rate_per_s = rate_per_s;
  return account;
}

/// Every 5 ms starts a request of the account with the lowest use among `waiting`, and returns
/// how many of `count` starts each account got.
std::map<std::string, int> Starts(account_shares& shares,
                                  const std::vector<std::string>& waiting, int count,
                                  time_point& now) {
  std::map<std::string, int> starts;
  for (int i = 0; i < count; ++i) {
    const std::string next = *std::ranges::min_element(waiting, {}, [&](const auto& name) {
      return shares.Use(name, milliseconds(10), milliseconds(10), now);
    });
    shares.OnStart(next, milliseconds(10), now);
    ++starts[next];
    now += milliseconds(5);
  }
  return starts;
}

// Guards against service that is not in proportion to the accounts' rates.
TEST(AccountShares, AccountsGetServiceByTheirRates) {
  account_shares shares;
  time_point now = At({});
  shares.SetAccounts(std::vector{Account("large", 9), Account("small", 1)});
  Starts(shares, {"large", "small"}, 400, now);
  const auto starts = Starts(shares, {"large", "small"}, 1000, now);
  EXPECT_NEAR(starts.at("large"), 900, 10);
  EXPECT_NEAR(starts.at("small"), 100, 10);
}

// Guards against an account that collects claims while it sends nothing and then holds up the
// others, and against one that is held up for long because it was served alone before.
TEST(AccountShares, UseIsForgotten) {
  account_shares shares;
  time_point now = At({});
  shares.SetAccounts(std::vector{Account("a", 10), Account("b", 10)});
  Starts(shares, {"a"}, 10'000, now);
  Starts(shares, {"a", "b"}, 800, now);
  const auto starts = Starts(shares, {"a", "b"}, 100, now);
  EXPECT_NEAR(starts.at("a"), 50, 3);
  now += seconds(30);
  EXPECT_EQ(shares.Use("a", milliseconds(10), milliseconds(10), now), 0);
}

// Guards against a small account that is refused after a single request more than usual,
// although a large one is far above its share.
TEST(AccountShares, FewRequestsAreFree) {
  account_shares shares;
  const time_point now = At({});
  shares.SetAccounts(std::vector{Account("large", 100), Account("small", 1)});
  for (int i = 0; i < 300; ++i) shares.OnStart("large", milliseconds(10), now);
  shares.OnStart("small", milliseconds(10), now);
  const auto use = [&](const char* name, int queued) {
    return shares.Use(name, milliseconds(10 * queued), milliseconds(10), now);
  };
  EXPECT_EQ(use("small", 2), 0);
  EXPECT_GT(use("large", 1), 0);
  EXPECT_GT(use("small", 6), use("large", 1));
}

// Guards against an account without a cap, or work without an account or of one that the
// document lacks, that gets everything or nothing.
TEST(AccountShares, WorkWithoutARateHasTheMeanWeight) {
  account_shares shares;
  time_point now = At({});
  EXPECT_FALSE(shares.IsActive());
  shares.OnStart("a", milliseconds(1), now);
  shares.SetAccounts(std::vector{Account("a", 10), Account("b", 30), Account("open", 0)});
  EXPECT_TRUE(shares.IsActive());
  Starts(shares, {"a", "b", "open", ""}, 800, now);
  const auto starts = Starts(shares, {"a", "b", "open", ""}, 800, now);
  EXPECT_NEAR(starts.at("a"), 100, 10);
  EXPECT_NEAR(starts.at("b"), 300, 10);
  EXPECT_NEAR(starts.at("open"), 200, 10);
  EXPECT_NEAR(starts.at(""), 200, 10);
  EXPECT_EQ(shares.Use("unknown", seconds(1), {}, now), shares.Use("", seconds(1), {}, now));
  shares.SetAccounts(std::vector{Account("open", 0)});
  Starts(shares, {"open", "", "a"}, 10, now);
  shares.SetAccounts({});
  EXPECT_FALSE(shares.IsActive());
}

class FairQueueTest : public admission_fixture {
 protected:
  void SetUp() override {
    admission_fixture::SetUp();
    Observe("/orders/read", milliseconds(10), 100);
    system_.SetAccounts(std::vector{Account("flood", 10), Account("calm", 10)});
    for (std::uint64_t id = 1; id <= 6; ++id) {
      ASSERT_EQ(Submit(id, Of("flood")).state, submit_state::kStarted);
    }
  }
  /// Queues work of "flood" until no more of it can be in time; returns the number queued.
  std::uint64_t QueueFlood() {
    std::uint64_t queued = 0;
    while (queued < 8 &&
           Submit(11 + queued, Of("flood", milliseconds(30))).state == submit_state::kQueued) {
      ++queued;
    }
    EXPECT_GT(queued, 2U);
    EXPECT_LT(queued, 8U);
    return queued;
  }
  static attempt_head Of(const std::string& account, duration objective = seconds(1)) {
    attempt_head head = Read(At(seconds(10)));
    head.account = account;
    head.objective = At(objective);
    return head;
  }
  void ExpectStarts(const std::vector<std::uint64_t>& order) {
    const testing::InSequence sequence;
    for (const std::uint64_t id : order) {
      EXPECT_CALL(listener_, OnQueuedStarted(exchange_id{id}));
    }
  }
};

// Guards against a full queue that refuses the account within its share instead of the one that
// filled the queue.
TEST_F(FairQueueTest, FullQueueRefusesTheLastWorkOfTheAccountThatFilledIt) {
  for (std::uint64_t id = 11; id <= 18; ++id) {
    ASSERT_EQ(Submit(id, Of("flood")).state, submit_state::kQueued);
  }
  EXPECT_EQ(Submit(19, Of("flood")).kind, error_kind::kOverloaded);
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{18}, error_kind::kOverloaded));
  EXPECT_EQ(Submit(21, Of("calm")).state, submit_state::kQueued);
  EXPECT_EQ(system_.queued(), 8U);
}

// Guards against an account that sends far more than its share and leaves no capacity to one
// that stays within its share, and against work that stays queued although it will be late: it
// has to be refused while another upstream can still serve it.
TEST_F(FairQueueTest, WorkOfTheAccountAboveItsShareMakesRoom) {
  const std::uint64_t queued = QueueFlood();
  EXPECT_CALL(listener_,
              OnQueuedRefused(exchange_id{10 + queued}, error_kind::kDeadlineTooShort));
  EXPECT_EQ(Submit(21, Of("calm", milliseconds(30))).state, submit_state::kQueued);
  EXPECT_EQ(system_.queued(), queued);
}

// Guards against work that is refused although all work could be served in time, only because
// its account is above its share.
TEST_F(FairQueueTest, NothingIsRefusedWhileAllCanBeInTime) {
  for (std::uint64_t id = 11; id <= 14; ++id) {
    ASSERT_EQ(Submit(id, Of("flood")).state, submit_state::kQueued);
  }
  for (std::uint64_t id = 21; id <= 24; ++id) {
    ASSERT_EQ(Submit(id, Of("calm")).state, submit_state::kQueued);
  }
  EXPECT_EQ(system_.queued(), 8U);
}

// Guards against an account that is starved because it exceeds its share, and against service
// that is not in proportion to the shares of accounts that all exceed theirs.
TEST_F(FairQueueTest, AccountsAboveTheirSharesGetServiceByTheirRates) {
  system_.SetAccounts(std::vector{Account("flood", 30), Account("calm", 10)});
  for (std::uint64_t id = 1; id <= 6; ++id) Complete(id, milliseconds(10));
  time_point now = At({});
  std::multimap<time_point, std::uint64_t> ends;
  std::map<std::string, int> starts;
  const auto start = [&](std::uint64_t id) {
    ends.emplace(now + milliseconds(10), id);
    if (now > At(seconds(1))) ++starts[id % 3 == 0 ? "calm" : "flood"];
  };
  EXPECT_CALL(listener_, OnQueuedRefused).Times(testing::AnyNumber());
  EXPECT_CALL(listener_, OnQueuedStarted).WillRepeatedly([&](exchange_id exchange) {
    start(exchange.value);
  });
  for (std::uint64_t id = 100; now < At(seconds(4)); ++id) {
    attempt_head head = Of(id % 3 == 0 ? "calm" : "flood");
    head.objective = now + milliseconds(50);
    if (Submit(id, head, now).state == submit_state::kStarted) start(id);
    if (id % 3 == 0) now += milliseconds(1);
    while (!ends.empty() && ends.begin()->first <= now) {
      const std::uint64_t ended = ends.begin()->second;
      ends.erase(ends.begin());
      Complete(ended, milliseconds(10), now);
    }
  }
  const double ratio = static_cast<double>(starts["flood"]) / starts["calm"];
  EXPECT_NEAR(ratio, 3, 0.5);
  EXPECT_GT(starts["flood"] + starts["calm"], 1700) << "of 1,800 that the slots allow";
}

// Guards against a call that running work waits for and that is queued behind new work, and
// against shares that outweigh priorities.
TEST_F(FairQueueTest, AwaitedCallsStartFirstThenPrioritiesThenShares) {
  attempt_head low = Of("calm");
  low.account_priority = 2;
  attempt_head route = Of("flood");
  route.account_priority = 1;
  route.priority = 1;
  attempt_head high = Of("flood");
  high.account_priority = 1;
  attempt_head nested = Of("flood");
  nested.account_priority = 9;
  nested.depth = 1;
  ASSERT_EQ(Submit(11, low).state, submit_state::kQueued);
  ASSERT_EQ(Submit(12, route).state, submit_state::kQueued);
  ASSERT_EQ(Submit(13, high).state, submit_state::kQueued);
  ASSERT_EQ(Submit(14, nested).state, submit_state::kQueued);
  ExpectStarts({14, 13, 12, 11});
  for (std::uint64_t id = 1; id <= 4; ++id) Complete(id, milliseconds(10));
}

// Guards against another order within one account, and in a deployment without accounts.
TEST_F(FairQueueTest, WorkOfOneAccountStartsByItsLatestStart) {
  for (const bool has_accounts : {true, false}) {
    if (!has_accounts) system_.SetAccounts({});
    const std::uint64_t base = has_accounts ? 10 : 20;
    ASSERT_EQ(Submit(base + 1, Of("calm", milliseconds(900))).state, submit_state::kQueued);
    ASSERT_EQ(Submit(base + 2, Of("calm", milliseconds(300))).state, submit_state::kQueued);
    attempt_head third = Of("calm", milliseconds(600));
    // Without accounts, the calls of running work have no precedence.
    third.depth = has_accounts ? 0 : 1;
    ASSERT_EQ(Submit(base + 3, third).state, submit_state::kQueued);
    ExpectStarts({base + 2, base + 3, base + 1});
    const std::uint64_t running = has_accounts ? 1 : 4;
    for (std::uint64_t id = running; id < running + 3; ++id) Complete(id, milliseconds(10));
  }
}

}  // namespace
}  // namespace bronzeroute
