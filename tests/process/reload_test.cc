#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "tests/process/deployed_test.h"

namespace bronzeroute::testing {
namespace {

class reload : public deployed_test {
 protected:
  std::string SettingsFile() const {
    return deployment_.folder() + "/" + std::to_string(kFirst) + ".toml";
  }
  /// Replaces the settings at once, so that the daemon never reads a part of them.
  void WriteSettings(const std::string& text) const {
    const std::string fresh = SettingsFile() + ".new";
    std::ofstream(fresh) << text;
    std::filesystem::rename(fresh, SettingsFile());
  }
  /// True once a line names an error at `line` of the settings.
  bool HasNamedError(std::ptrdiff_t line) const {
    const std::string log = deployment_.Output("daemon-0");
    return log.find("event=faulty_settings_ignored errors=\"" + SettingsFile() + ":" +
                    std::to_string(line) + ": ") != std::string::npos;
  }
};

// Guards against settings with a number that no type holds, or with deep nesting, that end a
// running daemon or take effect in part.
TEST_F(reload, OddValuesAreNamedAndThePreviousSettingsStayInEffect) {
  Deploy();
  std::ifstream file(SettingsFile());
  std::stringstream text;
  text << file.rdbuf();
  std::string original = text.str();
  constexpr std::size_t kDeep = 100'000;
  const std::vector<std::string> cases = {
      "[stop]\nlinger_ms = 1e999\n",
      "[stop]\nlinger_ms = -1\n",
      "[stop]\nlinger_ms = 99999999999999999999\n",
      "[admission]\nslot_share = nan\n",
      "[admission]\nslot_share = 1e999\n",
      "[stop]\nlinger_ms = " + std::string(kDeep, '[') + std::string(kDeep, ']') + "\n",
      "[stop]\nlinger_ms = \x01\xff\n"};
  for (const std::string& odd : cases) {
    // Each case stands in a line of its own number.
    original += "\n";
    const std::ptrdiff_t line = std::ranges::count(original, '\n') + 2;
    WriteSettings(original + odd);
    deployment_.pair(kFirst).daemon->Signal(SIGHUP);
    EXPECT_TRUE(deployment::WaitFor([&] { return HasNamedError(line); }))
        << odd.substr(0, 60) << "\n"
        << deployment_.Output("daemon-0").substr(0, 4000);
    EXPECT_EQ(deployment_.Call(kFirst, "GET", "/orders/1").status, 200) << odd.substr(0, 60);
  }
  EXPECT_TRUE(deployment_.pair(kFirst).daemon->IsRunning());
}

// Guards against a change of the settings between their first read and the first look at the
// state of the file, which was never noticed.
TEST_F(reload, ChangeDuringTheStartIsNoticed) {
  Deploy();
  std::ifstream file(SettingsFile());
  std::stringstream text;
  text << file.rdbuf();
  const std::string original = text.str();
  child_process& before = *deployment_.pair(kFirst).daemon;
  before.Signal(SIGTERM);
  before.Wait();
  // The daemon reads its settings from a pipe, whose end it gets only once a changed file has
  // taken the place of the pipe.
  std::filesystem::remove(SettingsFile());
  ASSERT_EQ(mkfifo(SettingsFile().c_str(), S_IRUSR | S_IWUSR), 0);
  const int pipe = open(SettingsFile().c_str(), O_RDWR | O_CLOEXEC);
  ASSERT_EQ(write(pipe, original.data(), original.size()),
            static_cast<ssize_t>(original.size()));
  deployment_.StartDaemon(kFirst);
  EXPECT_TRUE(deployment::WaitFor([pipe] {
    int unread = 0;
    return ioctl(pipe, FIONREAD, &unread) == 0 && unread == 0;
  }));
  WriteSettings(original + "[stop]\nlinger_ms = -1\n");
  close(pipe);
  EXPECT_TRUE(deployment::WaitFor([&] {
    return HasNamedError(std::ranges::count(original, '\n') + 2);
  })) << deployment_.Output("daemon-0").substr(0, 4000);
}

}  // namespace
}  // namespace bronzeroute::testing
