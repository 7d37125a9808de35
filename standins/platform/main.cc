// Plays a deployment of the users' platform with real daemons: stand-ins of the store, its
// operator, upstreams and callers, and an oracle that judges what they see.

#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <iostream>
#include <utility>

#include "src/transport/event_loop.h"
#include "standins/platform/platform_run.h"

namespace {

std::atomic<bool> stop_requested = false;

void RequestStop(int /*number*/) { stop_requested = true; }

constexpr int kBroken = 1;
constexpr int kUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  using bronzeroute::standin::platform_run;
  cxxopts::Options parser("brstandin_platform",
                          "Plays a deployment of the users' platform with real daemons.\n"
                          "Exit code: 0 no rule broken, 1 a rule was broken, 2 cannot run");
  bronzeroute::standin::run_options options;
  std::string site_file;
  double seconds = 60;
  int change_ms = 2000;
  int fault_ms = 0;
  int restart_ms = 0;
  int kill_ms = 0;
  // clang-format off
  parser.add_options()
      ("site", "site file (TOML)", cxxopts::value(site_file))
      ("daemon", "program of the daemon", cxxopts::value(options.daemon))
      ("settings", "template of its settings", cxxopts::value(options.settings_template)->default_value("deploy/settings.toml"))
      ("folder", "folder for settings and logs", cxxopts::value(options.folder))
      ("seconds", "length of the run", cxxopts::value(seconds)->default_value("60"))
      ("change-ms", "mean time between two versions; 0 for none", cxxopts::value(change_ms)->default_value("2000"))
      ("fault-ms", "mean time between two faults of the store; 0 for none", cxxopts::value(fault_ms)->default_value("0"))
      ("fault-share", "share of the machines for which the store has the fault", cxxopts::value(options.fault_share)->default_value("1"))
      ("silent", "play only the fault in which calls to the store get no response")
      ("busy", "play only the fault in which calls to the store get 503")
      ("silent-connections", "play only the fault in which the open connections to the store fall silent")
      ("restored", "play only the fault in which the store comes back from an older copy")
      ("restart-ms", "mean time between two planned restarts of a daemon; 0 for none", cxxopts::value(restart_ms)->default_value("0"))
      ("kill-ms", "mean time between two kills of a daemon, which is started again; 0 for none", cxxopts::value(kill_ms)->default_value("0"))
      ("limited-share", "share of the upstreams of the first service that name a limit", cxxopts::value(options.limited_share)->default_value("0"))
      ("limit-factor", "limit as a share of the requests that an upstream got before", cxxopts::value(options.limit_factor)->default_value("0.5"))
      ("leaving", "number of upstreams that leave", cxxopts::value(options.leaving)->default_value("0"))
      ("departing", "number of upstreams that depart and whose daemon is then killed", cxxopts::value(options.departing)->default_value("0"))
      ("accounts", "number of client accounts; 0 for none", cxxopts::value(options.accounts)->default_value("0"))
      ("hot-account", "requests of the largest account as a multiple of its cap", cxxopts::value(options.hot_account)->default_value("1"))
      ("refused-per-s", "requests per second with a key that daemons have to refuse", cxxopts::value(options.refused_per_second)->default_value("0"))
      ("evacuations", "number of evacuations of a zone", cxxopts::value(options.evacuations)->default_value("0"))
      ("odd-values", "add values to each version that cannot be used")
      ("load", "requests per second as a share of those of the site", cxxopts::value(options.load)->default_value("1"))
      ("seed", "seed of names, requests, changes and faults", cxxopts::value(options.seed)->default_value("1"))
      ("h,help", "print this help")
      ("version", "print the version");
  // clang-format on
  try {
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << parser.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "brstandin_platform " << BRONZEROUTE_VERSION << "\n";
      return 0;
    }
    for (const char* name : {"site", "daemon", "folder"}) {
      if (parsed.count(name) == 0) throw std::runtime_error(std::string("missing --") + name);
    }
    options.length = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    options.change_period = std::chrono::milliseconds(change_ms);
    using bronzeroute::standin::store_fault;
    for (const auto& [name, fault] :
         {std::pair("silent", store_fault::kSilent), std::pair("busy", store_fault::kBusy),
          std::pair("silent-connections", store_fault::kSilentConnections),
          std::pair("restored", store_fault::kRestored)}) {
      if (parsed.count(name) != 0) options.fault = fault;
    }
    options.odd_values = parsed.count("odd-values") != 0;
    options.restart_period = std::chrono::milliseconds(restart_ms);
    options.kill_period = std::chrono::milliseconds(kill_ms);
    options.fault_period = std::chrono::milliseconds(fault_ms);
    const auto site = bronzeroute::standin::ReadSite(site_file);
    std::filesystem::create_directories(options.folder);
    struct sigaction action = {};
    action.sa_handler = RequestStop;
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    bronzeroute::StartEventLoop();
    platform_run run(site, options);
    run.Play(stop_requested);
    return run.Report() ? 0 : kBroken;
  } catch (const std::exception& error) {
    std::cerr << "brstandin_platform: " << error.what() << "\n";
    return kUsageError;
  }
}
