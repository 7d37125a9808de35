#include <gtest/gtest.h>

#include <csignal>
#include <cstddef>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "tests/process/deployed_test.h"

namespace bronzeroute::testing {
namespace {

constexpr int kCannotStart = 1;
constexpr int kUsage = 2;
constexpr int kBadSettings = 3;

class start_error : public deployed_test {
 protected:
  struct exit_result {
    int code = 0;
    std::string output;
  };

  exit_result RunDaemon(const std::vector<std::string>& arguments) {
    const std::string output = deployment_.folder() + "/start-" + std::to_string(++runs_);
    child_process daemon("bronzerouted", arguments, output);
    exit_result result;
    result.code = daemon.Wait();
    result.output = ReadFile(output);
    return result;
  }

  static std::string ReadFile(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::string SettingsFile(std::size_t index) const {
    return deployment_.folder() + "/" + std::to_string(index) + ".toml";
  }

  // Writes the settings of `index` with `from` replaced by `to` to a new file; returns its
  // path.
  std::string Changed(std::size_t index, const std::string& from, const std::string& to) {
    std::string text = ReadFile(SettingsFile(index));
    text.replace(text.find(from), from.size(), to);
    std::string path = deployment_.folder() + "/changed-" + std::to_string(++runs_) + ".toml";
    std::ofstream(path) << text;
    return path;
  }

  int runs_ = 0;
};

// Guards against a start error that does not report its cause, or that affects other processes.
TEST_F(start_error, ReportsItsCauseAndDoesNotAffectOthers) {
  Deploy();
  const exit_result no_settings = RunDaemon({});
  EXPECT_EQ(no_settings.code, kUsage);
  EXPECT_NE(no_settings.output.find("--settings"), std::string::npos) << no_settings.output;

  const exit_result no_file = RunDaemon({"--settings", "/nonexistent/daemon.toml"});
  EXPECT_EQ(no_file.code, kBadSettings);
  EXPECT_NE(no_file.output.find("/nonexistent/daemon.toml"), std::string::npos);

  const std::string peers = "peers = \"" + deployment_.pair(kEntry).peers + "\"";
  const exit_result missing = RunDaemon({"--settings", Changed(kEntry, peers, "")});
  EXPECT_EQ(missing.code, kBadSettings);
  EXPECT_NE(missing.output.find("addresses.peers"), std::string::npos) << missing.output;

  const exit_result malformed =
      RunDaemon({"--settings", Changed(kEntry, peers, "peers = \"somewhere\"")});
  EXPECT_EQ(malformed.code, kBadSettings);
  EXPECT_NE(malformed.output.find("somewhere"), std::string::npos) << malformed.output;

  const exit_result unknown =
      RunDaemon({"--settings", Changed(kEntry, "region =", "regoin =")});
  EXPECT_EQ(unknown.code, kBadSettings);
  EXPECT_NE(unknown.output.find("regoin"), std::string::npos) << unknown.output;

  // In each case one address is already in use by the first daemon, and the others are free.
  deployment_.pair(kEntry).daemon->Signal(SIGKILL);
  deployment_.pair(kEntry).daemon->Wait();
  const node_pair& taken = deployment_.pair(kFirst);
  const node_pair& own = deployment_.pair(kEntry);
  for (const auto& [address, clash] :
       {std::pair{own.callers, taken.callers}, std::pair{own.peers, taken.peers},
        std::pair{own.membership, taken.membership}, std::pair{own.admin, taken.admin}}) {
    const exit_result clashing = RunDaemon({"--settings", Changed(kEntry, address, clash)});
    EXPECT_EQ(clashing.code, kCannotStart) << clash;
    EXPECT_NE(clashing.output.find(" on " + clash), std::string::npos) << clashing.output;
  }
  for (const std::size_t index : {kFirst, kSecond}) {
    EXPECT_TRUE(deployment_.pair(index).daemon->IsRunning());
    EXPECT_EQ(deployment_.Call(index, "GET", "/orders/1").status, 200);
  }
}

}  // namespace
}  // namespace bronzeroute::testing
