#include <gtest/gtest.h>

#include <csignal>
#include <cstddef>
#include <string>
#include <vector>

#include "tests/process/call_oracle.h"
#include "tests/process/deployed_test.h"

namespace bronzeroute::testing {
namespace {

constexpr char kUnknown[] = "unknown";

class owner_loss : public deployed_test {
 protected:
  // A member is listed before the channel to it is open; until then its calls are refused.
  // More calls at once than one upstream has slots go to both.
  bool AwaitOwners(std::size_t entry) {
    const std::int64_t first = deployment_.Runs(kFirst);
    const std::int64_t second = deployment_.Runs(kSecond);
    return deployment::WaitFor([&] {
      call_oracle burst(deployment_, "burst");
      for (std::int64_t i = 0; i < 2 * kSlots; ++i) {
        burst.StartRepeatable(entry, "/orders/1?work_us=50000", "5000");
      }
      burst.Join();
      return deployment_.Runs(kFirst) > first && deployment_.Runs(kSecond) > second;
    });
  }

  // The members that each daemon lists, for failure messages.
  std::string MembersText() {
    std::string text;
    for (std::size_t i = 0; i < kPairs; ++i) {
      text += "daemon " + std::to_string(i) + ":";
      const auto members =
          deployment_.GetJson(deployment_.pair(i).admin, "/.bronzeroute/v1/members");
      if (!members.has_field("members")) {
        continue;
      }
      for (const auto& row : members.at("members").as_array()) {
        text += " " + row.at("admin_address").as_string() + " " + row.at("state").as_string();
      }
      text += "\n";
    }
    return text;
  }
  // Why the call went where it did, for failure messages.
  std::string ExplainText(std::size_t entry, const std::string& call) {
    deployment_.RunCtl({"explain", "--admin", deployment_.pair(entry).admin, call});
    return deployment_.ctl_output();
  }
};

// Guards against a protected call that is repeated or reported as not-run when its owner is
// killed, and against a restarted daemon that runs a key of the lost incarnation again.
TEST_F(owner_loss, KilledOwnerLeavesProtectedCallsUnknown) {
  Deploy();
  ASSERT_TRUE(AwaitOwners(kEntry)) << "the entry did not reach both owners within 30 s";
  const std::string lost_key = KeyOfHome(kFirst, kEntry);
  ASSERT_FALSE(lost_key.empty());
  // The entry chooses the homes of issued keys, so three keys with the home kFirst are selected
  // to ensure that calls run there.
  std::vector<std::string> keys;
  for (int i = 0; i < 8; ++i) {
    keys.push_back(i < 3 ? KeyOfHome(kFirst, kEntry) : deployment_.IssueKey(kEntry, "orders"));
    ASSERT_FALSE(keys.back().empty());
  }
  call_oracle oracle(deployment_);
  // Held, so that none ends before its owner is killed.
  ASSERT_TRUE(deployment_.HoldWork(true));
  oracle.StartProtected(kEntry, "/orders/new?work_us=2000000", lost_key, "5000");
  // Behind six others it would wait for a slot until they end, and then run alone.
  const bool is_running =
      deployment::WaitFor([this] { return deployment_.RunsOfMark("p0") == 1; });
  for (const std::string& key : keys) {
    oracle.StartProtected(kEntry, "/orders/new?work_us=2000000", key, "5000");
  }
  for (int i = 0; i < 4; ++i) {
    oracle.StartRepeatable(kEntry, "/orders/1?work_us=1000000", "5000");
  }
  const bool are_running = is_running && deployment::WaitFor([this] {
                             return deployment_.RunRecord(kFirst, "in_use") >= 3;
                           });
  if (are_running) {
    deployment_.pair(kFirst).daemon->Signal(SIGKILL);
    deployment_.pair(kFirst).daemon->Wait();
  }
  EXPECT_TRUE(deployment_.HoldWork(false));
  oracle.Join();
  ASSERT_TRUE(are_running) << oracle.Results();
  ASSERT_TRUE(deployment::WaitFor([this] {
    return deployment_.RunRecord(kFirst, "in_use") == 0 && IsIdle(kSecond) && IsIdle(kEntry);
  }));
  EXPECT_EQ(oracle.Contradictions(), "");
  EXPECT_EQ(oracle.calls()[0].result.execution, kUnknown);
  for (const reported_call& call : oracle.calls()) {
    if (!call.key.empty() && call.result.status != 200) {
      EXPECT_EQ(call.result.execution, kUnknown) << call.result.error;
    }
  }

  deployment_.StartDaemon(kFirst);
  ASSERT_TRUE(deployment_.WaitReady(kPairs));
  const std::int64_t before = deployment_.Runs(kFirst);
  EXPECT_TRUE(deployment::WaitFor([&] {
    return deployment_.Call(kFirst, "GET", "/orders/1").status == 200 &&
           deployment_.Runs(kFirst) > before;
  }));
  for (std::size_t entry = 0; entry < kPairs; ++entry) {
    ASSERT_TRUE(AwaitOwners(entry)) << "entry " << entry << " did not reach both owners";
    const call_result again =
        deployment_.Call(entry, "POST", "/orders/new", "x", lost_key, "", "2");
    EXPECT_EQ(again.error, "key_home_lost");
    EXPECT_EQ(again.execution, kUnknown);
  }
  EXPECT_EQ(deployment_.RunsOfKey(lost_key), 1);
}

// Guards against an owner that resumes after a freeze and runs work that was reported as
// not-run, or runs work twice.
TEST_F(owner_loss, FrozenOwnerRunsNoWorkReportedAsNotRun) {
  Deploy();
  // The first freeze is shorter than the gap that a daemon detects, the second is longer.
  for (const char* deadline_ms : {"2000", "4500"}) {
    call_oracle oracle(deployment_, std::string("-") + deadline_ms + "-");
    std::vector<std::string> keys;
    keys.reserve(24);
    for (int i = 0; i < 24; ++i) {
      keys.push_back(deployment_.IssueKey(kEntry, "orders"));
    }
    for (const std::string& key : keys) {
      oracle.StartProtected(kEntry, "/orders/new?work_us=1000000", key, deadline_ms);
    }
    for (int i = 0; i < 8; ++i) {
      oracle.StartRepeatable(kEntry, "/orders/1?work_us=1000000", deadline_ms);
    }
    const std::size_t frozen = WaitForBusy(3);
    ASSERT_LT(frozen, kEntry);
    const std::size_t other = frozen == kFirst ? kSecond : kFirst;
    deployment_.pair(frozen).daemon->Signal(SIGSTOP);
    // These reach the owner's socket, but are not read before the owner resumes.
    for (int i = 0; i < 6; ++i) {
      oracle.StartProtected(kEntry, "/orders/new", "", deadline_ms);
      oracle.StartRepeatable(kEntry, "/orders/1", deadline_ms);
      oracle.StartRepeatable(other, "/orders/1", deadline_ms);
    }
    oracle.Join();
    deployment_.pair(frozen).daemon->Signal(SIGCONT);
    ASSERT_TRUE(deployment_.WaitReady(kPairs)) << MembersText();
    ASSERT_TRUE(deployment::WaitFor(
        [this] { return IsIdle(kFirst) && IsIdle(kSecond) && IsIdle(kEntry); }));
    EXPECT_EQ(oracle.Contradictions(), "") << "deadline " << deadline_ms;
    const std::int64_t before = deployment_.Runs(frozen);
    std::string last_call;
    EXPECT_TRUE(deployment::WaitFor([&] {
      // Twice as many as one upstream runs at once: a single call goes to the nearer owner.
      call_oracle load(deployment_, std::string("-load-") + deadline_ms + "-");
      for (int i = 0; i < 12; ++i) {
        load.StartRepeatable(kEntry, "/orders/1?work_us=50000", "5000");
      }
      load.Join();
      last_call = deployment_.Call(kEntry, "GET", "/orders/1").call_id;
      return deployment_.Runs(frozen) > before;
    })) << ExplainText(kEntry, last_call)
        << MembersText();
  }
}

// Guards against a call that runs twice when its entry is killed and its caller tries again.
TEST_F(owner_loss, KilledEntryClosesConnectionsAndKeysRunAtMostOnce) {
  Deploy();
  ASSERT_TRUE(AwaitOwners(kEntry)) << "the entry did not reach both owners within 30 s";
  call_oracle oracle(deployment_);
  for (int i = 0; i < 16; ++i) {
    oracle.StartProtected(kEntry, "/orders/new?work_us=700000",
                          deployment_.IssueKey(kEntry, "orders"), "5000");
  }
  const bool are_running = deployment::WaitFor([this] {
    return deployment_.RunRecord(kFirst, "in_use") + deployment_.RunRecord(kSecond, "in_use") >=
           6;
  });
  if (!are_running) oracle.Join();
  ASSERT_TRUE(are_running) << oracle.Results();
  deployment_.pair(kEntry).daemon->Signal(SIGKILL);
  deployment_.pair(kEntry).daemon->Wait();
  oracle.Join();
  for (const reported_call& call : oracle.calls()) {
    EXPECT_TRUE(call.result.no_response || call.result.status == 200)
        << call.result.status << " " << call.result.error;
    const std::int64_t first_runs = deployment_.RunsOfKey(call.key);
    const call_result again =
        deployment_.Call(kSecond, "POST", "/orders/new", "x", call.key, "", "2");
    EXPECT_LE(deployment_.RunsOfKey(call.key), 1);
    if (first_runs == 1) {
      EXPECT_NE(again.execution, "not-run") << again.error;
      EXPECT_NE(again.status, 200);
    }
  }
  ASSERT_TRUE(deployment::WaitFor([this] { return IsIdle(kFirst) && IsIdle(kSecond); }));
  for (const reported_call& call : oracle.calls()) {
    EXPECT_LE(deployment_.RunsOfKey(call.key), 1);
  }
}

}  // namespace
}  // namespace bronzeroute::testing
