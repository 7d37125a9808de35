// Each rule of the oracle is shown red by the events of a daemon that breaks it, and green by
// those of one that keeps it.

#include "standins/platform/upstream_oracle.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace bronzeroute::standin {
namespace {

using std::chrono::milliseconds;

class UpstreamOracleTest : public testing::Test {
 protected:
  static upstream_oracle::clock::time_point At(int ms) {
    return upstream_oracle::clock::time_point(std::chrono::hours(1)) + milliseconds(ms);
  }
  /// `count` requests from the machine, evenly within a second from `ms` on.
  void Send(const std::string& machine, int ms, int count) {
    for (int i = 0; i < count; ++i) {
      const auto at = At(ms + 1000 * i / count);
      oracle_.OnArrival("i-1", machine, "r", at, at);
    }
  }
  std::string Broken() const {
    std::string rules;
    for (const rule_break& each : oracle_.breaks()) rules += each.rule + " ";
    return rules;
  }

  upstream_oracle oracle_{{.configuration = milliseconds(2000),
                           .stability = milliseconds(3000),
                           .grace = milliseconds(6000),
                           .drain = milliseconds(2000)}};
};

// A limit of 10/s allows 65 requests in 4 s.
TEST_F(UpstreamOracleTest, FindsMoreThanTheLimitAllowsInAnyWindow) {
  oracle_.OnLimit("i-1", 10, At(0));
  oracle_.OnLimitPassedOn("i-1", "m-1", At(100));
  for (int second = 3; second < 9; ++second) Send("m-1", 1000 * second, 16);
  EXPECT_EQ(Broken(), "");
  Send("m-1", 9000, 18);
  EXPECT_EQ(Broken(), "LIMIT ");
}

TEST_F(UpstreamOracleTest, CountsOnlyMachinesThatHavePassedOnTheLimit) {
  oracle_.OnLimit("i-1", 10, At(0));
  oracle_.OnLimitPassedOn("i-1", "m-1", At(5000));
  Send("m-1", 4500, 100);
  Send("m-2", 6000, 100);
  EXPECT_EQ(Broken(), "");
  Send("m-1", 6000, 100);
  EXPECT_EQ(Broken(), "LIMIT ");
}

TEST_F(UpstreamOracleTest, ARestartAndTheEndOfTheLimitExcuse) {
  oracle_.OnLimit("i-1", 10, At(0));
  oracle_.OnLimitPassedOn("i-1", "m-1", At(100));
  oracle_.OnRestart("m-1", At(4000));
  Send("m-1", 4000, 100);
  oracle_.OnLimitPassedOn("i-1", "m-1", At(5000));
  oracle_.OnLimit("i-1", -1, At(6000));
  Send("m-1", 6000, 100);
  EXPECT_EQ(Broken(), "");
}

TEST_F(UpstreamOracleTest, FindsARequestAfterTheLeavingWasPassedOn) {
  oracle_.OnLeavingPassedOn("i-1", "m-1", At(0));
  oracle_.OnLeavingPassedOn("i-1", "m-1", At(1500));
  oracle_.OnArrival("i-1", "m-1", "1", At(1900), At(2100));
  oracle_.OnArrival("i-1", "m-2", "2", At(3000), At(3100));
  oracle_.OnArrival("i-2", "m-1", "3", At(3000), At(3100));
  EXPECT_EQ(Broken(), "");
  oracle_.OnArrival("i-1", "m-1", "4", At(2100), At(2200));
  EXPECT_EQ(Broken(), "DRAIN ");
  oracle_.OnRestart("m-1", At(2500));
  oracle_.OnArrival("i-1", "m-1", "5", At(4000), At(4100));
  EXPECT_EQ(Broken(), "DRAIN ");
}

TEST_F(UpstreamOracleTest, FindsARequestFromAnyMachineAfterADepartureInSpiteOfARestart) {
  oracle_.OnDepartureAcknowledged("i-1", At(2000));
  oracle_.OnArrival("i-1", "m-1", "1", At(2000), At(2900));
  oracle_.OnArrival("i-2", "m-1", "2", At(3000), At(3100));
  oracle_.OnRestart("m-1", At(3500));
  EXPECT_EQ(Broken(), "");
  oracle_.OnArrival("i-1", "m-2", "3", At(4000), At(4100));
  EXPECT_EQ(Broken(), "DRAIN ");
}

}  // namespace
}  // namespace bronzeroute::standin
