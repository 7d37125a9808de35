#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/process/deployed_test.h"

namespace bronzeroute::testing {
namespace {

constexpr int kAccepted = 0;
constexpr int kRefused = 3;
constexpr int kUnavailable = 4;

class publication : public deployed_test {
 protected:
  ~publication() override { StopWatching(); }

  // Polls the version of every daemon until the end of the test. Within one incarnation it must
  // not decrease.
  void WatchVersions() {
    watcher_ = std::thread([this] {
      while (!stop_) {
        for (const std::string& admin : Watched()) {
          const auto status = deployment_.GetJson(admin, "/.bronzeroute/v1/status");
          if (!status.has_field("config_version")) {
            continue;
          }
          const std::string incarnation = admin + " " + status.at("incarnation").serialize();
          const auto version = status.at("config_version").as_number().to_int64();
          const auto [found, is_new] = versions_.emplace(incarnation, version);
          if (version < found->second) {
            decreases_ += incarnation + " fell from " + std::to_string(found->second) + " to " +
                          std::to_string(version) + "\n";
          }
          found->second = version;
          ++polls_;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }

  void StopWatching() {
    stop_ = true;
    if (watcher_.joinable()) {
      watcher_.join();
    }
  }

  void Watch(std::size_t index) {
    const std::lock_guard lock(mutex_);
    watched_.push_back(deployment_.pair(index).admin);
  }

  std::vector<std::string> Watched() {
    const std::lock_guard lock(mutex_);
    return watched_;
  }

  // A document that differs from others by its name.
  std::string WriteDocument(const std::string& name) {
    std::string text = Document();
    const std::string old_name = "name = \"test\"";
    text.replace(text.find(old_name), old_name.size(), "name = \"" + name + "\"");
    std::string path = deployment_.folder() + "/" + name + ".toml";
    std::ofstream(path) << text;
    return path;
  }

  static std::string ReadFile(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

  bool SetLogFault(const std::string& fault) {
    return deployment_.PutJson(deployment_.log_address(), "/v1/faults", fault);
  }

  std::string DocumentOf(std::size_t index) {
    const auto in_effect =
        deployment_.GetJson(deployment_.pair(index).admin, "/.bronzeroute/v1/configuration");
    return in_effect.has_field("document") ? in_effect.at("document").as_string() : "";
  }

  bool IsInEffectEverywhere(const std::string& text) {
    for (std::size_t i = 0; i < deployment_.size(); ++i) {
      if (DocumentOf(i) != text) {
        return false;
      }
    }
    return true;
  }

  std::thread watcher_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::vector<std::string> watched_;
  std::map<std::string, std::int64_t> versions_;
  std::string decreases_;
  std::int64_t polls_ = 0;
};

// Guards against two accepted publications on one base, a publication that is lost or repeated
// when the response of the log is lost, a promoted document that differs from the one in trial,
// a daemon that cannot start without the log, and a version that decreases.
TEST_F(publication, OneWinnerPerRaceAndNoLossUnderLogFaults) {
  Deploy();
  for (std::size_t i = 0; i < kPairs; ++i) {
    Watch(i);
  }
  WatchVersions();

  // With the delay, both operators read the same base before either of them appends.
  ASSERT_TRUE(SetLogFault(R"({"delay_ms": 300})"));
  for (int round = 0; round < 2; ++round) {
    std::vector<std::unique_ptr<child_process>> operators;
    std::vector<std::string> outputs;
    for (const char* side : {"left", "right"}) {
      const std::string name = side + std::to_string(round);
      outputs.push_back(deployment_.folder() + "/" + name + ".out");
      const std::vector<std::string> arguments = {"--log", deployment_.log_address(), "publish",
                                                  WriteDocument(name)};
      operators.push_back(std::make_unique<child_process>("brctl", arguments, outputs.back()));
    }
    const std::pair codes(operators[0]->Wait(), operators[1]->Wait());
    const bool left_won = codes.first == kAccepted;
    EXPECT_EQ(left_won ? codes.second : codes.first, kRefused)
        << ReadFile(outputs[0]) << ReadFile(outputs[1]);
    EXPECT_EQ(left_won ? codes.first : codes.second, kAccepted);
    EXPECT_NE(ReadFile(outputs[left_won ? 1 : 0]).find("stale_base"), std::string::npos);
  }
  ASSERT_TRUE(SetLogFault(R"({"delay_ms": 0})"));
  ASSERT_EQ(deployment_.RunCtl({"promote"}), kAccepted) << deployment_.ctl_output();

  // An operator with an old base is refused before anything is appended.
  EXPECT_EQ(deployment_.RunCtl({"publish", "--base", "0", WriteDocument("old-base")}),
            kRefused);
  EXPECT_NE(deployment_.ctl_output().find("stale_base"), std::string::npos);

  // Appends that take effect without a response.
  for (const char* lost : {"1", "3"}) {
    ASSERT_TRUE(SetLogFault(std::string(R"({"lose_answers": )") + lost + "}"));
    const std::string file = WriteDocument(std::string("lost") + lost);
    EXPECT_EQ(deployment_.RunCtl({"publish", file}), kAccepted) << deployment_.ctl_output();
    ASSERT_TRUE(SetLogFault(R"({"lose_answers": 1})"));
    EXPECT_EQ(deployment_.RunCtl({"promote"}), kAccepted) << deployment_.ctl_output();
    EXPECT_EQ(deployment_.RunCtl({"promote"}), kAccepted) << deployment_.ctl_output();
    EXPECT_NE(deployment_.ctl_output().find("in force already"), std::string::npos);
    EXPECT_TRUE(deployment::WaitFor([&] { return IsInEffectEverywhere(ReadFile(file)); }));
  }
  ASSERT_TRUE(SetLogFault(R"({"lose_answers": 0})"));

  // Without the log, nothing is published, and a new daemon receives the version from a peer.
  ASSERT_TRUE(SetLogFault(R"({"down": true})"));
  EXPECT_EQ(deployment_.RunCtl({"publish", "--timeout", "1", WriteDocument("down")}),
            kUnavailable);
  deployment_.UseSeeds(
      {deployment_.pair(kFirst).membership, deployment_.pair(kSecond).membership});
  const std::size_t added = deployment_.AddPair("orders", "north", "north-b");
  Watch(added);
  const std::string in_force = DocumentOf(kFirst);
  EXPECT_FALSE(in_force.empty());
  EXPECT_TRUE(deployment::WaitFor([&] { return DocumentOf(added) == in_force; }));
  EXPECT_TRUE(deployment_.WaitReady(kPairs + 1));
  EXPECT_EQ(deployment_.Call(added, "GET", "/orders/1").status, 200);

  // Once the log is available again, the next publication reaches all daemons.
  ASSERT_TRUE(SetLogFault(R"({"down": false})"));
  const std::string last = WriteDocument("last");
  EXPECT_EQ(deployment_.RunCtl({"publish", last}), kAccepted) << deployment_.ctl_output();
  EXPECT_EQ(deployment_.RunCtl({"promote"}), kAccepted) << deployment_.ctl_output();
  EXPECT_TRUE(deployment::WaitFor([&] { return IsInEffectEverywhere(ReadFile(last)); }));
  StopWatching();
  EXPECT_EQ(decreases_, "");
  EXPECT_GT(polls_, 0);
}

}  // namespace
}  // namespace bronzeroute::testing
