#include <gtest/gtest.h>

#include <csignal>
#include <cstddef>
#include <string>

#include "tests/process/call_oracle.h"
#include "tests/process/deployed_test.h"
#include "tests/process/raw_http.h"

namespace bronzeroute::testing {
namespace {

class upstream_fault : public deployed_test {
 protected:
  bool SetFault(std::size_t index, const std::string& fault) {
    return deployment_.PutJson(deployment_.pair(index).upstream, "/standin/faults", fault);
  }
};

// Guards against a truncated response that looks complete to the caller, both when the entry is
// the owner and when the response is relayed between daemons.
TEST_F(upstream_fault, TruncatedResponseNeverLooksComplete) {
  Deploy();
  const raw_request download{.method = "POST",
                             .path = "/orders/photos?download=3000000",
                             .headers = {},
                             .body_bytes = 10};
  for (const bool truncate : {true, false}) {
    const std::string fault =
        std::string(R"({"cut_response": )") + (truncate ? "true}" : "false}");
    ASSERT_TRUE(SetFault(kFirst, fault) && SetFault(kSecond, fault));
    for (const std::size_t entry : {kFirst, kEntry}) {
      const raw_response response = SendRaw(deployment_.pair(entry).callers, download);
      EXPECT_EQ(response.complete, !truncate)
          << "entry " << entry << ", status " << response.status << ", " << response.body_bytes
          << " bytes";
      if (!truncate) {
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body_bytes, 3'000'000);
      }
    }
  }
}

// Guards against a call that is reported as not-run or repeated after its upstream was killed
// while executing it, and against an upstream that is not used again after its restart.
TEST_F(upstream_fault, KilledUpstreamLeavesProtectedCallsUnknown) {
  Deploy();
  call_oracle oracle(deployment_);
  for (int i = 0; i < 6; ++i) {
    oracle.StartProtected(kEntry, "/orders/new?work_us=2000000",
                          deployment_.IssueKey(kEntry, "orders"), "5000");
    oracle.StartRepeatable(kEntry, "/orders/1?work_us=1000000", "5000");
  }
  const std::size_t killed = WaitForBusy(2);
  ASSERT_LT(killed, kEntry);
  const auto ran = deployment_.GetJson(deployment_.pair(killed).upstream, "/standin/runs");
  deployment_.pair(killed).worker->Signal(SIGKILL);
  deployment_.pair(killed).worker->Wait();
  oracle.Join();
  for (const reported_call& call : oracle.calls()) {
    EXPECT_FALSE(call.result.no_response) << call.mark;
    EXPECT_LE(deployment_.RunsOfMark(call.mark), 1) << call.mark;
    if (ran.at("marks").has_field(call.mark) && call.mark[0] == 'p') {
      EXPECT_EQ(call.result.execution, "unknown") << call.result.error;
      EXPECT_EQ(deployment_.RunsOfMark(call.mark), 0) << "ran at both upstreams";
    }
  }
  deployment_.StartWorker(killed);
  EXPECT_TRUE(deployment::WaitFor([&] {
    return deployment_.Call(kEntry, "GET", "/orders/1").status == 200 &&
           deployment_.Runs(killed) > 0;
  }));
}

// Guards against an upstream that attracts calls because it fails fast and so appears idle, and
// against one that stays ejected after it has recovered.
TEST_F(upstream_fault, FailingFastUpstreamIsEjectedAndUsedAgain) {
  Deploy();
  ASSERT_TRUE(SetFault(kFirst, R"({"fail_fast": true})"));
  constexpr int kCalls = 200;
  const auto served = [this] {
    int count = 0;
    for (int i = 0; i < kCalls; ++i) {
      count += deployment_.Call(kEntry, "GET", "/orders/1").status == 200 ? 1 : 0;
    }
    return count;
  };
  served();
  const std::int64_t before = deployment_.Runs(kFirst);
  EXPECT_GE(served(), kCalls * 9 / 10);
  EXPECT_LE(deployment_.Runs(kFirst) - before, kCalls / 10);
  ASSERT_TRUE(SetFault(kFirst, R"({"fail_fast": false})"));
  const std::int64_t recovered = deployment_.Runs(kFirst);
  EXPECT_TRUE(deployment::WaitFor([&] {
    deployment_.Call(kEntry, "GET", "/orders/1");
    return deployment_.Runs(kFirst) >= recovered + 10;
  }));
}

}  // namespace
}  // namespace bronzeroute::testing
