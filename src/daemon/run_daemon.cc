#include "src/daemon/run_daemon.h"

#include <absl/synchronization/mutex.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "src/base/concat.h"
#include "src/base/read_file.h"
#include "src/daemon/check_document.h"
#include "src/daemon/daemon.h"
#include "src/daemon/daemon_parts.h"
#include "src/daemon/parse_settings.h"
#include "src/logging/log_line.h"
#include "src/logging/log_writer.h"
#include "src/transport/event_loop.h"

namespace bronzeroute {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
// Period at which a stopping process checks whether it may exit.
constexpr timespec kStopPoll{.tv_sec = 0, .tv_nsec = 10'000'000};
// Period at which the settings file is checked for changes, so that no signal is needed.
constexpr timespec kSettingsPoll{.tv_sec = 1, .tv_nsec = 0};

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGHUP);
  return set;
}

/// The settings in `file`; errors are written to `errors`.
std::optional<settings> ReadSettings(const std::string& file, std::ostream& errors) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    errors << "cannot read settings file " << file << "\n";
    return std::nullopt;
  }
  settings_result result = ParseSettings(*text, file);
  for (const document_error& error : result.errors) errors << DescribeError(error) << "\n";
  return std::move(result.value);
}

/// Inode, size and modification time of a file; a difference means that the file has changed.
struct file_state {
  ino_t inode = 0;
  off_t size = 0;
  timespec changed{};

  explicit file_state(const std::string& file) {
    struct stat found {};
    if (stat(file.c_str(), &found) != 0) return;
    inode = found.st_ino;
    size = found.st_size;
    changed = found.st_mtim;
  }
  bool operator==(const file_state& other) const {
    return inode == other.inode && size == other.size &&
           changed.tv_sec == other.changed.tv_sec && changed.tv_nsec == other.changed.tv_nsec;
  }
};

void Reload(daemon& running, log_writer& events, const std::string& file) {
  std::stringstream errors;
  const auto changed = ReadSettings(file, errors);
  RunOnLoop([&] {
    if (changed) {
      running.Reload(*changed);
      return;
    }
    // The previous settings remain in effect.
    log_line line(log_weight::kState, "daemon", "faulty_settings_ignored");
    events.Write(line.Add("errors", errors.str()));
  });
}

/// Runs until SIGTERM or SIGINT arrives; reloads the settings when they change. `seen` is the
/// state of `file` before the settings in effect were read.
void Serve(daemon& running, log_writer& events, const sigset_t& signals,
           const std::string& file, file_state seen) {
  for (;;) {
    const int received = sigtimedwait(&signals, nullptr, &kSettingsPoll);
    if (received == SIGTERM || received == SIGINT) return;
    const file_state now(file);
    if (received == SIGHUP || !(now == seen)) Reload(running, events, file);
    seen = now;
  }
}

[[noreturn]] void Run(const settings& options, const daemon_parts& parts,
                      const std::string& file, const file_state& read_state) {
  // Threads started later inherit this mask, so only sigtimedwait() in Serve() receives the
  // signals.
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // Debian builds Abseil so that it checks each lock, gRPC's included, for deadlocks.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  StartEventLoop();
  // Never destroyed: the process ends through _Exit().
  auto* const events = new log_writer(STDOUT_FILENO, options.log_bytes_per_second);
  auto* const running = new daemon(options, parts, *events);
  const absl::Status status = running->Start();
  if (!status.ok()) {
    std::cerr << "daemon: cannot start: " << status.message() << std::endl;
    std::_Exit(kExitStartFailed);
  }
  Serve(*running, *events, signals, file, read_state);
  running->BeginStop();
  for (;;) {
    nanosleep(&kStopPoll, nullptr);
    // The check and the exit run on the event loop, so that no request can start in between.
    RunOnLoop([running, events] {
      if (running->stopped()) {
        events->Write({log_weight::kState, "daemon", "stopped"});
        events->Tick(MonotonicNow());
        std::_Exit(kExitOk);
      }
    });
  }
}

}  // namespace

int RunDaemon(int argc, char** argv, std::string_view program, const daemon_parts& parts) {
  const std::string name(program);
  cxxopts::Options options(name, "The bronzeroute daemon beside an upstream");
  // clang-format off
  options.add_options()
      ("settings", "settings file (TOML)", cxxopts::value<std::string>())
      ("check", "check the settings and exit")
      ("check-document", "check a configuration document and exit", cxxopts::value<std::string>())
      ("h,help", "print this help")
      ("version", "print the version");
  // clang-format on
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout
          << options.help()
          << "\nThe settings file is read again when it changes and on SIGHUP.\n"
             "Exit codes: 0 stopped by a signal, 1 cannot start (an address is in use), "
             "2 usage error, 3 invalid settings.\n"
             "Exit codes of --check-document: 0 accepted as written, 1 the file cannot be "
             "read, 4 accepted with values replaced, 5 refused.\n";
      return kExitOk;
    }
    if (parsed.count("version") != 0) {
      std::cout << name << " " << BRONZEROUTE_VERSION << "\n";
      return kExitOk;
    }
    if (parsed.count("check-document") != 0) {
      return static_cast<int>(CheckDocument(parsed["check-document"].as<std::string>(),
                                            parts.check_document, std::cout));
    }
    if (parsed.count("settings") == 0) {
      std::cerr << name << ": --settings FILE is required; see --help\n";
      return kExitUsage;
    }
    const auto file = parsed["settings"].as<std::string>();
    std::stringstream errors;
    // Before the read, so that a change during the start counts as one.
    const file_state read_state(file);
    const auto settings = ReadSettings(file, errors);
    if (!settings) {
      std::cerr << name << ": " << errors.str();
      return kExitBadSettings;
    }
    if (parsed.count("check") != 0) return kExitOk;
    Run(*settings, parts, file, read_state);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << name << ": " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitStartFailed;
  }
}

}  // namespace bronzeroute
