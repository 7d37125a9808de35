// Each rule of the oracle is shown red by the events of a daemon that breaks it, and green by
// those of one that keeps it.

#include "standins/platform/configuration_oracle.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace bronzeroute::standin {
namespace {

using std::chrono::milliseconds;

class ConfigurationOracleTest : public testing::Test {
 protected:
  ConfigurationOracleTest() {
    Publish(3, "orders", At(0));
    Publish(5, "stock", At(10'000));
  }

  static configuration_oracle::clock::time_point At(int ms) {
    return configuration_oracle::clock::time_point(std::chrono::hours(1)) + milliseconds(ms);
  }
  void Publish(std::int64_t number, const std::string& service,
               configuration_oracle::clock::time_point now) {
    authored_version version;
    version.number = number;
    version.routes[{"a.example", "/place/"}] = {"order", {{service, 100}}, milliseconds(1000)};
    if (number == 5) {
      version.routes[{"a.example", "/added/"}] = {
          "order", {{service, 100}}, milliseconds(1000)};
    }
    oracle_.OnSent(version, now);
    oracle_.OnConfirmed(number, now);
  }
  void Send(const std::string& id, int ms, const std::string& path = "/place/1") {
    oracle_.OnRequest(id, "daemon-1", "a.example", path, true, At(ms));
  }
  std::string Broken() const {
    std::string rules;
    for (const rule_break& each : oracle_.breaks()) rules += each.rule + " ";
    return rules;
  }

  configuration_oracle oracle_{
      {.configuration = milliseconds(3000), .stability = milliseconds(4000), .grace = {}}};
};

TEST_F(ConfigurationOracleTest, AcceptsTheOldServiceWithinTheBound) {
  Send("1", 12'900);
  oracle_.OnRun("1", "orders", At(13'100));
  oracle_.OnResponse("1", 200, At(13'200));
  EXPECT_EQ(Broken(), "");
}

TEST_F(ConfigurationOracleTest, FindsTheOldServiceAfterTheBound) {
  Send("1", 13'100);
  oracle_.OnRun("1", "orders", At(13'200));
  EXPECT_EQ(Broken(), "CONFIG ");
}

TEST_F(ConfigurationOracleTest, FindsAnAddedRouteThatIsNotServed) {
  Send("1", 13'100, "/added/1");
  oracle_.OnResponse("1", 404, At(13'200));
  Send("2", 12'900, "/added/2");
  oracle_.OnResponse("2", 404, At(13'000));
  EXPECT_EQ(Broken(), "CONFIG ");
}

TEST_F(ConfigurationOracleTest, FindsADenialThatNoVersionExplains) {
  Send("1", 14'000);
  oracle_.OnResponse("1", 400, At(14'100));
  EXPECT_EQ(Broken(), "DENIED ");
}

TEST_F(ConfigurationOracleTest, FindsAServiceThatNoVersionNamed) {
  Send("1", 14'000);
  oracle_.OnRun("1", "photos", At(14'100));
  EXPECT_EQ(Broken(), "ROUTE ");
}

TEST_F(ConfigurationOracleTest, FindsAProtectedRequestThatRunsTwice) {
  Send("1", 14'000);
  oracle_.OnRun("1", "stock", At(14'100));
  oracle_.OnRun("1", "stock", At(14'200));
  EXPECT_EQ(Broken(), "TWICE ");
}

TEST_F(ConfigurationOracleTest, FindsAFalsePromise) {
  Send("1", 14'000);
  oracle_.OnRun("1", "stock", At(14'100));
  oracle_.OnResponse("1", 503, At(14'200));
  Send("2", 14'000);
  oracle_.OnResponse("2", 429, At(14'100));
  oracle_.OnRun("2", "stock", At(14'200));
  EXPECT_EQ(Broken(), "REFUSED REFUSED ");
}

TEST_F(ConfigurationOracleTest, FindsARunThatNobodySent) {
  oracle_.OnRun("9", "stock", At(14'000));
  EXPECT_EQ(Broken(), "UNASKED ");
}

// A fault of the store excuses late versions until the stability time after its end.
TEST_F(ConfigurationOracleTest, ExcusesLateVersionsOnlyNearAFaultOfTheStore) {
  oracle_.OnStoreFault(At(10'000), At(13'000));
  Send("1", 16'900);
  oracle_.OnRun("1", "orders", At(16'950));
  EXPECT_EQ(Broken(), "");
  EXPECT_EQ(oracle_.excused(), 1U);
  Send("2", 17'100);
  oracle_.OnRun("2", "orders", At(17'200));
  EXPECT_EQ(Broken(), "CONFIG ");
}

// A planned stop excuses the daemon until the stability time after its start, and no other one.
TEST_F(ConfigurationOracleTest, ExcusesLateVersionsOnlyOfADaemonThatWasStopped) {
  oracle_.OnDaemonFault("daemon-2", At(10'000), configuration_oracle::clock::time_point::max());
  Send("1", 14'000);
  oracle_.OnRun("1", "orders", At(14'050));
  EXPECT_EQ(Broken(), "CONFIG ");
  oracle_.OnDaemonFault("daemon-1", At(10'000), configuration_oracle::clock::time_point::max());
  oracle_.OnDaemonStarted("daemon-1", At(11'000));
  Send("2", 14'900);
  oracle_.OnRun("2", "orders", At(14'950));
  EXPECT_EQ(Broken(), "CONFIG ");
  Send("3", 15'100);
  oracle_.OnRun("3", "orders", At(15'150));
  EXPECT_EQ(Broken(), "CONFIG CONFIG ");
}

}  // namespace
}  // namespace bronzeroute::standin
