// The daemon beside each upstream.

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include "src/base/concat.h"
#include "src/daemon/daemon.h"
#include "src/daemon/logging.h"
#include "src/daemon/parse_settings.h"
#include "src/transport/event_loop.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr auto kStopPoll = std::chrono::milliseconds(10);

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

[[noreturn]] void Run(const bronzeroute::settings& options) {
  bronzeroute::StartLogging(options.log_level);
  // All threads inherit the mask, so that the signals are left to sigwait below.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT(google-readability-casting): macro of the C library
  bronzeroute::StartEventLoop();
  auto daemon = std::make_unique<bronzeroute::daemon>(options);
  const absl::Status status = daemon->Start();
  if (!status.ok()) {
    bronzeroute::LogError(bronzeroute::Concat("daemon: cannot start: ", status.message()));
    daemon->Close();
    std::_Exit(kExitStartFailed);
  }
  int received = 0;
  sigwait(&signals, &received);
  daemon->BeginStop();
  while (true) {
    std::this_thread::sleep_for(kStopPoll);
    // Checked and ended on the loop, so that no request can begin between the two. The HTTP
    // listeners stay open; see transport::StopLinks.
    bronzeroute::RunOnLoop([&daemon] {
      if (daemon->stopped()) {
        bronzeroute::LogInfo("daemon: stopped");
        std::_Exit(kExitOk);
      }
    });
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bronzerouted", "The bronzeroute daemon beside an upstream");
  // clang-format off
  options.add_options()
      ("settings", "settings file (TOML)", cxxopts::value<std::string>())
      ("check", "check the settings and exit")
      ("h,help", "print this help")
      ("version", "print the version");
  // clang-format on
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help()
                << "\nExit codes: 0 stopped as asked, 1 cannot start (an address is taken), "
                   "2 wrong usage, 3 faulty settings.\n";
      return kExitOk;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bronzerouted " << BRONZEROUTE_VERSION << "\n";
      return kExitOk;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "bronzerouted: --settings FILE is required; see --help\n";
      return kExitUsage;
    }
    const auto file = parsed["settings"].as<std::string>();
    std::ifstream input(file);
    if (!input) {
      std::cerr << "bronzerouted: cannot read " << file << "\n";
      return kExitBadSettings;
    }
    std::stringstream text;
    text << input.rdbuf();
    const bronzeroute::settings_result settings = bronzeroute::ParseSettings(text.str(), file);
    for (const bronzeroute::document_error& error : settings.errors) {
      std::cerr << bronzeroute::DescribeError(error) << "\n";
    }
    if (!settings.value) {
      return kExitBadSettings;
    }
    if (parsed.count("check") != 0) {
      return kExitOk;
    }
    Run(*settings.value);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "bronzerouted: " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "bronzerouted: " << error.what() << "\n";
    return kExitStartFailed;
  }
}
