#include <gtest/gtest.h>

// After gtest, whose names clash with a macro of this library.
#include <cpprest/http_client.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "src/base/concat.h"
#include "tests/process/call_oracle.h"
#include "tests/process/deployed_test.h"
#include "tests/process/raw_http.h"
#include "tests/transport/raw_socket.h"

namespace bronzeroute::testing {
namespace {

class planned_stop : public deployed_test {
 protected:
  // Starts the load tool, which sends calls of all three classes to `targets`.
  std::unique_ptr<child_process> StartLoad(const std::vector<std::size_t>& targets) {
    std::vector<std::string> arguments = {"--json",
                                          "--keys",
                                          "issued",
                                          "--short-path",
                                          "/orders/1",
                                          "--short",
                                          "60",
                                          "--protected",
                                          "30",
                                          "--long",
                                          "10",
                                          "--protected-path",
                                          "/orders/new",
                                          "--long-path",
                                          "/orders/photos",
                                          "--long-bytes",
                                          "300000",
                                          "--duration",
                                          "5"};
    for (const std::size_t target : targets) {
      arguments.insert(arguments.end(), {"--target", deployment_.pair(target).callers});
    }
    return std::make_unique<child_process>("brload", arguments, LoadOutput());
  }

  /// The table [stop] of the deployed settings, which has no fields for the platform to fill
  /// in.
  static std::string DeployedStopTable() {
    std::ifstream file(std::string(BRONZEROUTE_SOURCE) + "/deploy/settings.toml");
    std::stringstream text;
    text << file.rdbuf();
    const std::string settings = text.str();
    const std::size_t begin = settings.find("[stop]");
    if (begin == std::string::npos) return "";
    return settings.substr(begin, settings.find("\n[", begin) + 1 - begin);
  }

  std::string LoadOutput() const { return deployment_.folder() + "/load.json"; }
};

// Guards against new work at an upstream that is draining, and against aborting the work that
// runs there.
TEST_F(planned_stop, DrainedUpstreamGetsNoNewWork) {
  Deploy();
  call_oracle oracle(deployment_);
  for (int i = 0; i < 8; ++i) {
    oracle.StartRepeatable(kEntry, "/orders/1?work_us=1500000", "5000");
  }
  const std::size_t leaving = WaitForBusy(2);
  ASSERT_LT(leaving, kEntry);
  ASSERT_EQ(deployment_.RunCtl({"drain", "--admin", deployment_.pair(leaving).admin}), 0)
      << deployment_.ctl_output();
  const std::int64_t before = deployment_.Runs(leaving);
  for (int i = 0; i < 60; ++i) {
    const auto entry = static_cast<std::size_t>(i) % kPairs;
    EXPECT_EQ(deployment_.Call(entry, "GET", "/orders/1").status, 200) << "entry " << entry;
  }
  oracle.Join();
  EXPECT_EQ(deployment_.Runs(leaving), before);
  EXPECT_EQ(oracle.Contradictions(), "");
  for (const reported_call& call : oracle.calls()) {
    EXPECT_EQ(call.result.status, 200) << call.result.error;
  }
  ASSERT_EQ(deployment_.RunCtl({"status", "--admin", deployment_.pair(leaving).admin}), 0);
  EXPECT_NE(deployment_.ctl_output().find("draining: true"), std::string::npos);
  for (std::size_t entry = 0; entry < kPairs; ++entry) {
    EXPECT_TRUE(deployment::WaitFor([&] {
      const auto members =
          deployment_.GetJson(deployment_.pair(entry).admin, "/.bronzeroute/v1/members");
      for (const auto& row : members.at("members").as_array()) {
        if (row.at("admin_address").as_string() == deployment_.pair(leaving).admin) {
          return row.at("draining").as_bool();
        }
      }
      return true;
    })) << "entry "
        << entry;
  }
}

// Guards against a planned stop of an owner that loses, aborts or repeats a request under load.
TEST_F(planned_stop, SigtermUnderLoadLosesNothing) {
  Deploy();
  const auto load = StartLoad({kSecond, kEntry});
  ASSERT_TRUE(deployment::WaitFor([this] { return deployment_.Runs(kFirst) >= 20; }));
  deployment_.pair(kFirst).daemon->Signal(SIGTERM);
  EXPECT_EQ(deployment_.pair(kFirst).daemon->Wait(), 0);
  EXPECT_EQ(load->Wait(), 0);
  std::ifstream file(LoadOutput());
  std::stringstream text;
  text << file.rdbuf();
  const web::json::value result = web::json::value::parse(text.str());
  for (const char* kind : {"short", "protected", "long"}) {
    const web::json::value& row = result.at(kind);
    EXPECT_GT(row.at("sent").as_number().to_int64(), 0) << kind;
    EXPECT_EQ(row.at("wrong_answers").as_integer(), 0) << kind;
    for (const auto& [outcome, count] : row.at("outcomes").as_object()) {
      // A key is lost with its home; a call with that key is not executed.
      const bool is_allowed = outcome == "ok" || outcome.ends_with("/not-run") ||
                              outcome == "key_home_lost/unknown";
      EXPECT_TRUE(is_allowed) << kind << ": " << count.serialize() << " " << outcome;
    }
  }
  for (const std::size_t index : {kFirst, kSecond}) {
    EXPECT_EQ(deployment_.RunRecord(index, "keys_run_twice"), 0);
  }
}

// Guards against a planned stop that cuts off accepted requests after a fixed time, although
// the platform grants more: the entry and the owner of a long call are stopped while it runs.
TEST_F(planned_stop, RequestThatOutlastsTheLingerTimeIsAnswered) {
  deployment_.UseSettings(DeployedStopTable());
  Deploy();
  call_oracle oracle(deployment_);
  oracle.StartProtected(kEntry, "/orders/photos?work_us=8000000", "", "20000");
  const std::size_t owner = WaitForBusy(1);
  ASSERT_LT(owner, kEntry);
  deployment_.pair(kEntry).daemon->Signal(SIGTERM);
  deployment_.pair(owner).daemon->Signal(SIGTERM);
  oracle.Join();
  ASSERT_EQ(oracle.calls().size(), 1U);
  EXPECT_EQ(oracle.calls()[0].result.status, 200) << oracle.calls()[0].result.error;
  EXPECT_EQ(deployment_.pair(kEntry).daemon->Wait(), 0);
  EXPECT_EQ(deployment_.pair(owner).daemon->Wait(), 0);
}

// Guards against requests that arrive late in the grace of a planned stop and are passed on, so
// that the platform's kill at its end cuts them off. A long call keeps the daemon running.
TEST_F(planned_stop, RequestThatArrivesLateInTheGraceIsRefusedAsNotRun) {
  constexpr auto kLate = std::chrono::seconds(4);
  constexpr std::string_view kFields =
      " /orders/new HTTP/1.1\r\nHost: orders\r\nBronzeroute-Service: orders\r\n";
  deployment_.UseSettings(DeployedStopTable());
  Deploy();
  call_oracle oracle(deployment_);
  oracle.StartProtected(kEntry, "/orders/photos?work_us=8000000", "", "20000");
  ASSERT_LT(WaitForBusy(1), kEntry);
  const std::int64_t runs = deployment_.Runs(kFirst) + deployment_.Runs(kSecond);
  const std::string& address = deployment_.pair(kEntry).callers;
  const auto port =
      static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  const raw_socket slow_head = raw_socket::Connect(port);
  const raw_socket slow_body = raw_socket::Connect(port);
  ASSERT_TRUE(slow_head.Send(Concat("POST", kFields)));
  ASSERT_TRUE(slow_body.Send(Concat("POST", kFields, "Content-Length: 4\r\n\r\nab")));
  deployment_.pair(kEntry).daemon->Signal(SIGTERM);
  std::this_thread::sleep_for(kLate);
  slow_head.Send("Content-Length: 0\r\n\r\n");
  slow_body.Send("cd");
  for (const raw_socket* late : {&slow_head, &slow_body}) {
    const std::string response = late->ReceiveAll();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
  }
  EXPECT_EQ(deployment_.Runs(kFirst) + deployment_.Runs(kSecond), runs);
  oracle.Join();
  EXPECT_EQ(oracle.calls()[0].result.status, 200) << oracle.calls()[0].result.error;
}

// Guards against a daemon that never exits because a caller keeps a connection open.
TEST_F(planned_stop, IdleConnectionDoesNotKeepDaemonRunning) {
  Deploy();
  web::http::client::http_client caller("http://" + deployment_.pair(kFirst).callers);
  // The library keeps the connection of a completed request open.
  const auto response = caller.request(web::http::methods::GET, "/orders/1").get();
  EXPECT_EQ(response.content_ready().get().status_code(), web::http::status_codes::OK);
  deployment_.pair(kFirst).daemon->Signal(SIGTERM);
  EXPECT_TRUE(
      deployment::WaitFor([this] { return !deployment_.pair(kFirst).daemon->IsRunning(); }));
}

// Guards against a daemon that never exits because callers keep sending: the platform would
// then kill it while it handles their requests.
TEST_F(planned_stop, CallersThatKeepSendingDoNotKeepDaemonRunning) {
  Deploy();
  std::atomic<bool> done = false;
  constexpr int kCallers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      while (!done) {
        const raw_response response =
            SendRaw(deployment_.pair(kFirst).callers,
                    {.method = "GET", .path = "/orders/1", .headers = {}, .body_bytes = 0});
        EXPECT_TRUE(!response.connected || response.complete) << response.error;
      }
    });
  }
  ASSERT_TRUE(deployment::WaitFor([this] { return deployment_.Runs(kFirst) >= 20; }));
  deployment_.pair(kFirst).daemon->Signal(SIGTERM);
  EXPECT_TRUE(
      deployment::WaitFor([this] { return !deployment_.pair(kFirst).daemon->IsRunning(); }));
  done = true;
  for (std::thread& caller : callers) caller.join();
}

// Guards against an entry that accepts a connection during its planned stop and then exits
// without sending a response.
TEST_F(planned_stop, StoppingEntryRespondsToEveryConnection) {
  Deploy();
  int calls = 0;
  std::chrono::steady_clock::time_point stopped;
  while (deployment_.pair(kFirst).daemon->IsRunning()) {
    const raw_response response =
        SendRaw(deployment_.pair(kFirst).callers,
                {.method = "GET", .path = "/orders/1", .headers = {}, .body_bytes = 0});
    EXPECT_TRUE(!response.connected || response.complete)
        << "call " << calls << ": " << response.error << ", "
        << (std::chrono::steady_clock::now() - stopped) / std::chrono::milliseconds(1)
        << " ms after SIGTERM";
    if (++calls == 50) {
      stopped = std::chrono::steady_clock::now();
      deployment_.pair(kFirst).daemon->Signal(SIGTERM);
    }
  }
  EXPECT_EQ(deployment_.pair(kFirst).daemon->Wait(), 0);
}

}  // namespace
}  // namespace bronzeroute::testing
