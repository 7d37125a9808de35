#include "src/node/usage_adapter.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/calls/usage_listener.h"
#include "src/configuration/document.h"
#include "src/node/decision_log.h"
#include "tests/membership/member_net.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct granted_calls : usage_listener {
  void OnUsageGranted(std::uint64_t call, const usage_decision&, time_point) override {
    granted.push_back(call);
  }
  void OnUsageDenied(std::uint64_t call, const usage_decision&, time_point) override {
    denied.push_back(call);
  }
  std::vector<std::uint64_t> granted;
  std::vector<std::uint64_t> denied;
};

/// Members of a simulated network, each with an adapter.
class UsageAdapterTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kDaemons = 4;

  UsageAdapterTest() : net_({}), decisions_(nullptr) {
    net_.StartAll(kDaemons);
    for (int i = 0; i < 30; ++i) {
      AddAccount("a" + std::to_string(i), 20);
    }
    AddAccount("uncapped", 0);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      usage_.push_back(std::make_unique<usage_adapter>(net_.at(i).self(), net_.at(i),
                                                       decisions_, net_.now()));
      usage_[i]->SetListener(&calls_[i]);
      usage_[i]->OnDocument(current_, net_.now());
    }
  }
  void AddAccount(const std::string& name, double rate_per_s) {
    account_spec account;
    account.name = name;
    account.rate_per_s = rate_per_s;
    current_.accounts.push_back(account);
  }
  void Run(duration time) { RunFirst(kDaemons, time); }
  /// Runs the first `count` daemons; the others have ended.
  void RunFirst(std::size_t count, duration time) {
    const time_point end = net_.now() + time;
    while (net_.now() < end) {
      net_.RunFor(milliseconds(10));
      for (std::size_t i = 0; i < count; ++i) {
        usage_[i]->OnMembers(net_.now());
        usage_[i]->OnMessages(net_.now());
        usage_[i]->Tick(net_.now());
      }
    }
  }

  member_net net_;
  decision_log decisions_;
  document current_;
  std::map<std::size_t, granted_calls> calls_;
  std::vector<std::unique_ptr<usage_adapter>> usage_;
};

// Guards against messages that are not passed between daemons: most accounts have their lender
// at another daemon, and each must get a token.
TEST_F(UsageAdapterTest, TokensCrossTheMembershipNetwork) {
  Run(seconds(15));
  std::size_t at_once = 0;
  std::uint64_t call = 0;
  // One token is at hand for each account, the others are with the lenders.
  for (int i = 0; i < 90; ++i) {
    const usage_decision decision = usage_[0]->Acquire(
        "a" + std::to_string(i % 30), ++call, net_.now() + milliseconds(150), net_.now());
    ASSERT_NE(decision.state, usage_state::kDenied);
    if (decision.state == usage_state::kGranted) ++at_once;
  }
  EXPECT_LT(at_once, 60U);
  Run(milliseconds(200));
  EXPECT_EQ(at_once + calls_[0].granted.size(), 90U);
  EXPECT_TRUE(calls_[0].denied.empty());
  EXPECT_LE(net_.LargestDatagram(), 1200U);
}

TEST_F(UsageAdapterTest, AccountWithoutCapIsNotLimited) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(usage_[0]->Acquire("uncapped", 1, net_.now(), net_.now()).state,
              usage_state::kGranted);
  }
}

// Guards against requests that wait for a dead lender while others could lend. Daemons with
// demand replace it once the hold of their delegations ends, others when membership reports its
// death.
TEST_F(UsageAdapterTest, DeadLenderIsReplaced) {
  Run(seconds(15));
  net_.Kill(3);
  const auto denied = [this] {
    std::size_t sum = 0;
    for (const auto& [at, calls] : calls_) sum += calls.denied.size();
    return sum;
  };
  // Eight requests per second for each account, at the first `entries` daemons.
  const auto run = [this](duration time, std::size_t entries) {
    const time_point end = net_.now() + time;
    for (std::uint64_t call = 1000; net_.now() < end; ++call) {
      for (int i = 0; i < 30; ++i) {
        usage_[call % entries]->Acquire("a" + std::to_string(i),
                                        100 * call + static_cast<std::uint64_t>(i),
                                        net_.now() + milliseconds(150), net_.now());
      }
      RunFirst(3, milliseconds(120));
    }
  };
  run(seconds(7), 3);
  const std::size_t before = denied();
  EXPECT_GT(before, 0U);
  run(seconds(4), 3);
  EXPECT_EQ(denied(), before);
  run(seconds(20), 1);
  const std::size_t at_one = denied();
  run(seconds(4), 1);
  EXPECT_EQ(denied(), at_one);
}

}  // namespace
}  // namespace bronzeroute
