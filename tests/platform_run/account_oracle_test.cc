// Each rule of the oracle is shown red by the events of a daemon that breaks it, and green by
// those of one that keeps it.

#include "standins/platform/account_oracle.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace bronzeroute::standin {
namespace {

using std::chrono::milliseconds;

class AccountOracleTest : public testing::Test {
 protected:
  static account_oracle::clock::time_point At(int ms) {
    return account_oracle::clock::time_point(std::chrono::hours(1)) + milliseconds(ms);
  }
  /// `count` requests with `key`, evenly within a second from `ms` on, each run at once.
  void Run(const std::string& key, int ms, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(++sent_);
      const auto at = At(ms + 1000 * i / count);
      oracle_.OnRequest(id, key, at);
      oracle_.OnRun(id, at);
    }
  }
  std::string Broken() const {
    std::string rules;
    for (const rule_break& each : oracle_.breaks()) rules += each.rule + " ";
    return rules;
  }

  account_oracle oracle_{{{.name = "one", .key = "key-1", .per_second = 10, .burst = 10},
                          {.name = "two", .key = "key-2", .per_second = 0, .burst = 0}}};
  int sent_ = 0;
};

TEST_F(AccountOracleTest, FindsAnotherAccountAndAKeyThatIsPassedOn) {
  oracle_.OnRequest("a", "key-1", At(0));
  oracle_.OnArrival("a", "one", "");
  oracle_.OnRequest("b", "", At(0));
  oracle_.OnArrival("b", "", "");
  EXPECT_EQ(Broken(), "");
  oracle_.OnArrival("a", "two", "");
  oracle_.OnArrival("a", "one", "key-1");
  oracle_.OnArrival("b", "one", "");
  EXPECT_EQ(Broken(), "UNASKED UNASKED UNASKED ");
}

TEST_F(AccountOracleTest, FindsARunWithAKeyOfNoAccount) {
  oracle_.OnRequest("a", "key-3", At(0));
  oracle_.OnResponse("a", 401);
  EXPECT_EQ(Broken(), "");
  oracle_.OnRun("a", At(10));
  EXPECT_EQ(Broken(), "ROUTE ");
}

// 10/s with a burst of 10 allow 86 in 5 s.
TEST_F(AccountOracleTest, FindsMoreRunsThanTheCapAllowsInAnyWindow) {
  for (int second = 0; second < 20; ++second) Run("key-1", 1000 * second, 17);
  Run("key-2", 20'000, 1000);
  EXPECT_EQ(Broken(), "");
  Run("key-1", 20'000, 19);
  EXPECT_EQ(Broken(), "QUOTA ");
}

TEST_F(AccountOracleTest, FindsAKnownKeyThatIsRefused) {
  oracle_.OnRequest("a", "key-1", At(0));
  oracle_.OnResponse("a", 429);
  EXPECT_EQ(Broken(), "");
  EXPECT_EQ(oracle_.counts().at("one").over_cap, 1);
  oracle_.OnResponse("a", 401);
  EXPECT_EQ(Broken(), "DENIED ");
}

}  // namespace
}  // namespace bronzeroute::standin
