// The deployed program on a small deployment of the platform, as separate processes.

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "tests/process/child_process.h"

namespace bronzeroute::testing {
namespace {

// `config_ms` of the example.
constexpr int kConfigurationBoundMs = 3000;

struct run_result {
  int code = 0;
  std::string output;
};

class small_deployment : public ::testing::Test {
 protected:
  small_deployment() { std::filesystem::create_directories(folder_); }
  ~small_deployment() override { std::filesystem::remove_all(folder_); }

  run_result Play(std::vector<std::string> arguments) {
    const std::string output = folder_ + "/output";
    const std::string source = BRONZEROUTE_SOURCE;
    arguments.insert(arguments.end(),
                     {"--daemon", std::string(BRONZEROUTE_BIN) + "/bronzerouted-platform",
                      "--settings", source + "/deploy/settings.toml", "--folder", folder_});
    child_process run("brstandin_platform", arguments, output);
    return ResultOf(run, output);
  }
  /// Waits for the end of `process`, which writes to the file `output`.
  static run_result ResultOf(child_process& process, const std::string& output) {
    run_result result;
    result.code = process.Wait();
    std::ifstream file(output);
    std::stringstream text;
    text << file.rdbuf();
    result.output = text.str();
    return result;
  }
  static std::string Example() {
    return std::string(BRONZEROUTE_SOURCE) + "/examples/platform-small.toml";
  }

  std::string folder_ = std::filesystem::temp_directory_path() /
                        ("bronzeroute-platform-" + std::to_string(getpid()));
};

// Guards against confirmed versions that reach no daemon in time after the connections to the
// store fell silent.
TEST_F(small_deployment, VersionsAreInEffectWhileConnectionsToTheStoreFallSilent) {
  const run_result run = Play({"--site", Example(), "--seconds", "30", "--change-ms", "2500",
                               "--fault-ms", "12000", "--silent-connections", "--seed", "3"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_NE(run.output.find("never: 0"), std::string::npos) << run.output;
  std::smatch longest;
  ASSERT_TRUE(std::regex_search(run.output, longest, std::regex("max ([0-9]+) over")))
      << run.output;
  EXPECT_LE(std::stoi(longest[1]), kConfigurationBoundMs) << run.output;
}

// Guards against confirmed versions that are late at daemons to which the store is silent,
// while daemons that they could ask are killed.
TEST_F(small_deployment, VersionsAreInEffectWhileTheStoreIsSilentToSomeMachines) {
  const run_result run = Play({"--site", Example(), "--seconds", "25", "--change-ms", "2000",
                               "--fault-ms", "6000", "--silent", "--fault-share", "0.35",
                               "--kill-ms", "2000", "--load", "0.05", "--seed", "31"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_NE(run.output.find("never: 0"), std::string::npos) << run.output;
  std::smatch longest;
  ASSERT_TRUE(std::regex_search(run.output, longest,
                                std::regex("all the while: .* max ([0-9]+) of [1-9]")))
      << run.output;
  EXPECT_LE(std::stoi(longest[1]), kConfigurationBoundMs) << run.output;
}

// Guards against upstreams that get more than the limit that they name, restarts of daemons
// included.
TEST_F(small_deployment, UpstreamsGetNoMoreThanTheLimitThatTheyName) {
  const run_result run =
      Play({"--site", Example(), "--seconds", "20", "--change-ms", "0", "--limited-share",
            "0.7", "--restart-ms", "5000", "--seed", "4"});
  EXPECT_EQ(run.code, 0) << run.output;
  std::smatch counted;
  ASSERT_TRUE(std::regex_search(run.output, counted, std::regex("against limits: ([0-9]+)")))
      << run.output;
  EXPECT_GT(std::stoi(counted[1]), 0) << run.output;
}

// Guards against the use of an upstream that says in its responses that it leaves, while its
// report is late.
TEST_F(small_deployment, UpstreamThatSaysThatItLeavesGetsNoFurtherRequests) {
  const run_result run = Play({"--site", Example(), "--seconds", "15", "--change-ms", "0",
                               "--leaving", "5", "--seed", "5"});
  EXPECT_EQ(run.code, 0) << run.output;
}

// Guards against the use of an upstream whose departure was acknowledged by a daemon that is
// then killed, when a report from before arrives late.
TEST_F(small_deployment, DepartedUpstreamsAreNotUsedAfterTheirDaemonWasKilled) {
  const run_result run = Play({"--site", Example(), "--seconds", "20", "--change-ms", "0",
                               "--departing", "4", "--seed", "8"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_NE(run.output.find("departures acknowledged: 4"), std::string::npos) << run.output;
}

// Guards against confirmed versions that are missed, and daemons that are not found, after the
// store came back from an older copy, while daemons are stopped and started again.
TEST_F(small_deployment, VersionsAreInEffectAfterTheStoreWasRestored) {
  const run_result run =
      Play({"--site", Example(), "--seconds", "30", "--change-ms", "1500", "--fault-ms", "9000",
            "--restored", "--restart-ms", "7000", "--seed", "6"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_NE(run.output.find("back from an older copy"), std::string::npos) << run.output;
}

// Guards against versions that one value in them keeps from taking effect in time, while the
// store has faults and daemons are stopped and started again.
TEST_F(small_deployment, VersionsWithValuesThatCannotBeUsedAreInEffect) {
  const run_result run =
      Play({"--site", std::string(BRONZEROUTE_SOURCE) + "/examples/platform-accounts.toml",
            "--seconds", "25", "--change-ms", "250", "--accounts", "12", "--fault-ms", "9000",
            "--restart-ms", "6000", "--odd-values", "--seed", "9"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_NE(run.output.find("never: 0"), std::string::npos) << run.output;
}

// Guards against a key of a client account, or one that a caller sent, in a log, a metric, an
// explanation or a response.
TEST_F(small_deployment, KeysAppearInNoOutput) {
  const run_result run =
      Play({"--site", std::string(BRONZEROUTE_SOURCE) + "/examples/platform-accounts.toml",
            "--seconds", "15", "--change-ms", "2000", "--accounts", "12", "--hot-account", "4",
            "--restart-ms", "6000", "--odd-values", "--refused-per-s", "40", "--seed", "10"});
  EXPECT_EQ(run.code, 0) << run.output;
  EXPECT_TRUE(std::regex_search(
      run.output, std::regex("to be refused:.* 400 x .* 401 x .* 404 x .* 431 x")))
      << run.output;
  std::smatch texts;
  ASSERT_TRUE(std::regex_search(run.output, texts, std::regex("([0-9]+) texts for operators")))
      << run.output;
  // More than those of one kind from each of the 24 daemons.
  EXPECT_GT(std::stoi(texts[1]), 3 * 24) << run.output;
}

// Guards against a check of a document that does not tell an operator which values are
// replaced, or whose result a script cannot tell.
TEST_F(small_deployment, DocumentIsCheckedBeforeItIsPublished) {
  const auto check = [this](const std::string& document) {
    const std::string file = folder_ + "/document.json";
    const std::string output = folder_ + "/check";
    std::ofstream(file) << document;
    const std::vector<std::string> arguments = {"--check-document", file};
    child_process daemon("bronzerouted-platform", arguments, output);
    return ResultOf(daemon, output);
  };
  const std::string sound = R"({"version":"r7","limits":{"maxHeaderBytes":16384,
      "maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[],
      "clusters":[],"tenants":[{"name":"a","apiKeys":["key-of-a"])";
  EXPECT_EQ(check(sound + "}]}").code, 0);
  const run_result replaced = check(sound + R"(,"ratePerS":null}]})");
  EXPECT_EQ(replaced.code, 4);
  EXPECT_NE(replaced.output.find("tenants[0].ratePerS: found null; allowed: a number from 0 to "
                                 "10000000; used: 1\n"),
            std::string::npos)
      << replaced.output;
  EXPECT_EQ(replaced.output.find("key-of-a"), std::string::npos) << replaced.output;
  const run_result refused = check(sound);
  EXPECT_EQ(refused.code, 5);
  EXPECT_EQ(refused.output.find("key-of-a"), std::string::npos) << refused.output;
}

// Guards against a folder that is reported as a refused document.
TEST_F(small_deployment, FolderIsNoDocument) {
  const std::string output = folder_ + "/check";
  const std::vector<std::string> arguments = {"--check-document", folder_};
  child_process daemon("bronzerouted-platform", arguments, output);
  const run_result run = ResultOf(daemon, output);
  EXPECT_EQ(run.code, 1);
  EXPECT_EQ(run.output, "cannot read " + folder_ + "\n");
}

// Guards against requests outside their regions, in an evacuated zone, or at cold upstreams of
// a zone that is taken back; against another account or a key at an upstream; and against an
// account that gets more than its cap, while daemons are stopped and started again.
TEST_F(small_deployment, RegionsEvacuationsAccountsAndCapsHold) {
  const run_result run =
      Play({"--site", std::string(BRONZEROUTE_SOURCE) + "/examples/platform-accounts.toml",
            "--seconds", "40", "--change-ms", "4000", "--accounts", "12", "--hot-account", "4",
            "--evacuations", "2", "--restart-ms", "9000", "--seed", "7"});
  EXPECT_EQ(run.code, 0) << run.output;
  std::smatch counted;
  ASSERT_TRUE(std::regex_search(
      run.output, counted, std::regex("with regions: ([0-9]+); at cold upstreams: ([0-9]+)")))
      << run.output;
  EXPECT_GT(std::stoi(counted[1]), 0) << run.output;
  EXPECT_GT(std::stoi(counted[2]), 0) << run.output;
  ASSERT_TRUE(
      std::regex_search(run.output, counted, std::regex("account-1: .* over its cap ([0-9]+)")))
      << run.output;
  EXPECT_GT(std::stoi(counted[1]), 0) << run.output;
}

// Guards against a faulty site file whose error does not say what is wrong and where.
TEST_F(small_deployment, FaultySiteFileIsNamed) {
  const std::string site = folder_ + "/site.toml";
  std::ofstream(site) << "zones = [{ name = 7, region = \"north\" }]\n";
  const run_result run = Play({"--site", site, "--seconds", "1"});
  EXPECT_EQ(run.code, 2);
  EXPECT_NE(run.output.find(site + ": zones[0].name: found 7 in line 1; expected a text"),
            std::string::npos)
      << run.output;
}

}  // namespace
}  // namespace bronzeroute::testing
