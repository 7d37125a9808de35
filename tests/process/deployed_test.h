#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "tests/process/deployment.h"
#include "tests/process/example_document.h"

namespace bronzeroute::testing {

/// Two upstreams of service `orders`, and a third daemon beside an upstream of another service,
/// so that a call for `orders` through it is always forwarded to another daemon.
class deployed_test : public ::testing::Test {
 protected:
  static constexpr std::size_t kFirst = 0;
  static constexpr std::size_t kSecond = 1;
  static constexpr std::size_t kEntry = 2;
  static constexpr std::size_t kPairs = 3;
  static constexpr std::int64_t kSlots = 6;

  static std::string Document() {
    return ExampleDocument() +
           "[[service]]\nname = \"lookups\"\ndeadline_ms = 5000\nslots = 6\n"
           "connections = 260\nqueue_limit = 32\nlong_share = 0.5\nobjective = 0.99\n";
  }

  void Deploy() {
    deployment_.StartLog();
    deployment_.AddPair("orders", "north", "north-a");
    deployment_.AddPair("orders", "north", "north-b");
    deployment_.AddPair("lookups", "north", "north-a");
    ASSERT_TRUE(deployment::WaitFor([this] { return deployment_.Publish(Document()) == 0; }))
        << deployment_.ctl_output();
    ASSERT_TRUE(deployment_.WaitReady(kPairs));
    ASSERT_TRUE(deployment::WaitFor([this] {
      return deployment_.Status(kFirst, "effective_slots") == kSlots &&
             deployment_.Status(kSecond, "effective_slots") == kSlots;
    })) << "effective_slots of both daemons did not reach 6 within 30 s";
  }

  /// Member id of a daemon in the form used in issued keys.
  std::string IdOf(std::size_t index) {
    return deployment_.GetJson(deployment_.pair(index).admin, "/.bronzeroute/v1/status")
        .at("id")
        .as_string();
  }

  /// An issued key whose home is `index`; empty if none of 200 issued keys has that home.
  std::string KeyOfHome(std::size_t index, std::size_t entry) {
    const std::string prefix = "br1." + IdOf(index) + ".";
    for (int i = 0; i < 200; ++i) {
      std::string key = deployment_.IssueKey(entry, "orders");
      if (key.starts_with(prefix)) {
        return key;
      }
    }
    return "";
  }

  /// True if the upstream and its daemon both report that nothing is running or queued.
  bool IsIdle(std::size_t index) {
    return deployment_.RunRecord(index, "in_use") == 0 &&
           deployment_.Status(index, "running") == 0 &&
           deployment_.Status(index, "queued") == 0 &&
           deployment_.Status(index, "open_calls") == 0;
  }

  /// Waits until an upstream of `orders` runs `count` requests; returns its index, or kPairs
  /// if neither does within 30 s. Routing chooses the upstream, so a test cannot.
  std::size_t WaitForBusy(std::int64_t count) {
    std::size_t busy = kPairs;
    deployment::WaitFor([&] {
      for (const std::size_t index : {kFirst, kSecond}) {
        if (busy == kPairs && deployment_.RunRecord(index, "in_use") >= count) {
          busy = index;
        }
      }
      return busy != kPairs;
    });
    return busy;
  }

  deployment deployment_;
};

}  // namespace bronzeroute::testing
