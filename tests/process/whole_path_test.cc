#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/deployment.h"
#include "tests/process/example_document.h"

namespace bronzeroute::testing {
namespace {

class whole_path : public ::testing::Test {
 protected:
  void Deploy(std::size_t pairs) {
    deployment_.StartLog();
    const std::vector<std::string> regions = {"north", "north", "south"};
    for (std::size_t i = 0; i < pairs; ++i) {
      const std::string& region = regions[i % regions.size()];
      deployment_.AddPair("orders", region, region + "-" + std::string(1, "ab"[i % 2]));
    }
    ASSERT_TRUE(deployment::WaitFor([this] {
      return deployment_.Publish(ExampleDocument()) == 0;
    })) << deployment_.ctl_output();
    ASSERT_TRUE(deployment_.WaitReady(pairs));
  }

  // For failure messages.
  static std::string ResultsText(std::span<const call_result> results) {
    std::string text;
    for (const call_result& result : results) {
      text += std::to_string(result.status) + " " + result.error + "\n";
    }
    return text;
  }

  deployment deployment_;
};

// Guards against a defect anywhere on the path from the caller through entry and owner to the
// upstream.
TEST_F(whole_path, RequestIsServedFromEveryEntry) {
  Deploy(3);
  for (std::size_t entry = 0; entry < deployment_.size(); ++entry) {
    const call_result result = deployment_.Call(entry, "GET", "/orders/1");
    EXPECT_EQ(result.status, 200) << result.error;
    EXPECT_EQ(result.execution, "ran");
  }
}

// Guards against an error response without its kind or with a wrong execution state.
TEST_F(whole_path, InvalidRequestsGetTheirErrorKind) {
  Deploy(1);
  const call_result unknown = deployment_.Call(0, "GET", "/nothing/1");
  EXPECT_EQ(unknown.error, "unknown_service");
  EXPECT_EQ(unknown.execution, "not-run");
  const call_result header = deployment_.Call(0, "GET", "/orders/1", "", "", "soon");
  EXPECT_EQ(header.error, "bad_header");
  const call_result large =
      deployment_.Call(0, "GET", "/orders/1", "", std::string(20'000, 'k'));
  EXPECT_EQ(large.error, "field_too_large");
  EXPECT_EQ(deployment_.Call(0, "GET", "/orders/1").status, 200);
  EXPECT_EQ(deployment_.Runs(0), 1);
}

// Guards against a protected call that runs again, at the same or at another entry.
TEST_F(whole_path, SecondTryWithAnIssuedKeyDoesNotRunAgain) {
  Deploy(2);
  const call_result issued = deployment_.Call(0, "POST", "/.bronzeroute/v1/keys/orders");
  ASSERT_EQ(issued.status, 200) << issued.body;
  const std::string key = web::json::value::parse(issued.body).at("key").as_string();
  EXPECT_EQ(deployment_.Call(0, "POST", "/orders/new", "x", key).status, 200);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const call_result again = deployment_.Call(entry, "POST", "/orders/new", "x", key, "", "2");
    EXPECT_EQ(again.error, "duplicate_key");
    EXPECT_EQ(again.execution, "ran");
  }
  EXPECT_EQ(deployment_.RunsOfKey(key), 1);
}

// Guards against a burst of issued keys with the same home: their calls can be executed only
// there, and would be refused while other upstreams are idle.
TEST_F(whole_path, BurstOfIssuedKeysIsSpread) {
  Deploy(3);
  std::set<std::string> homes;
  constexpr int kKeys = 24;  // more than six slots and one queued request per slot
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = deployment_.IssueKey(0, "orders");
    homes.insert(key.substr(0, key.find('.', sizeof("br1."))));
  }
  EXPECT_GT(homes.size(), 1);
}

// Guards against a log outage that interrupts serving.
TEST_F(whole_path, LogOutageDoesNotStopServing) {
  Deploy(2);
  ASSERT_TRUE(
      deployment_.PutJson(deployment_.log_address(), "/v1/faults", R"({"down": true})"));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(deployment_.Call(i % 2, "GET", "/orders/1").status, 200);
  }
}

// Guards against work of a service in a region that the document does not list, whether the
// upstream is chosen by routing, is beside the entry, or is the home of a key.
TEST_F(whole_path, ServiceRunsOnlyInItsRegions) {
  deployment_.StartLog();
  deployment_.AddPair("orders", "north", "north-a");
  deployment_.AddPair("orders", "south", "south-a");
  std::string document = ExampleDocument();
  document.insert(document.find("deadline_ms"), "regions = [\"north\"]\n");
  ASSERT_TRUE(deployment::WaitFor([&] { return deployment_.Publish(document) == 0; }))
      << deployment_.ctl_output();
  ASSERT_TRUE(deployment_.WaitReady(2));
  // A member is listed before the channel to it is open; until then its calls are refused.
  ASSERT_TRUE(deployment::WaitFor(
      [this] { return deployment_.Call(1, "GET", "/orders/1").status == 200; }));
  const std::int64_t before = deployment_.Runs(0);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(deployment_.Call(1, "GET", "/orders/1").status, 200);
    const std::string key = "own-key-" + std::to_string(i);
    EXPECT_EQ(deployment_.Call(1, "POST", "/orders/new", "x", key).status, 200);
  }
  EXPECT_EQ(deployment_.Runs(0), before + 20);
  EXPECT_EQ(deployment_.Runs(1), 0);
}

// Guards against a planned stop that aborts a request in flight.
TEST_F(whole_path, SigtermFinishesRequestsInFlight) {
  Deploy(2);
  for (std::size_t stopped = 0; stopped < 2; ++stopped) {
    std::vector<call_result> results(6);
    // Held, so that all calls are seen running at once however long it takes to start them.
    ASSERT_TRUE(deployment_.HoldWork(true));
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < results.size(); ++i) {
      callers.emplace_back([this, i, &results] {
        results[i] = deployment_.Call(i % 2, "GET", "/orders/1?work_us=700000");
      });
    }
    std::int64_t most_running = 0;
    const bool are_running = deployment::WaitFor([&] {
      const std::int64_t running =
          deployment_.RunRecord(0, "in_use") + deployment_.RunRecord(1, "in_use");
      most_running = std::max(most_running, running);
      return running == 6;
    });
    bool is_stopping = false;
    if (are_running) {
      deployment_.pair(stopped).daemon->Signal(SIGTERM);
      is_stopping = deployment::WaitFor([&] {
        const auto status =
            deployment_.GetJson(deployment_.pair(stopped).admin, "/.bronzeroute/v1/status");
        return status.has_field("stopping") && status.at("stopping").as_bool();
      });
    }
    EXPECT_TRUE(deployment_.HoldWork(false));
    for (std::thread& caller : callers) {
      caller.join();
    }
    ASSERT_TRUE(are_running) << "at most " << most_running
                             << " of 6 were seen running at once\n"
                             << ResultsText(results);
    ASSERT_TRUE(is_stopping);
    for (const call_result& result : results) {
      EXPECT_EQ(result.status, 200) << result.error;
    }
    EXPECT_EQ(deployment_.pair(stopped).daemon->Wait(), 0);
    deployment_.StartDaemon(stopped);
    ASSERT_TRUE(deployment_.WaitReady(2));
  }
}

}  // namespace
}  // namespace bronzeroute::testing
