#include "standins/platform/daemon_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <stdexcept>
#include <thread>

namespace bronzeroute::standin {
namespace {

constexpr mode_t kFileMode = 0644;
constexpr std::chrono::milliseconds kPoll{10};

}  // namespace

daemon_process::daemon_process(const std::string& program, const std::string& settings,
                               const std::string& output_file) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error(std::string("cannot fork: ") + std::strerror(errno));
  if (pid_ > 0) return;
  // An interrupted run must not leave daemons behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execl(program.c_str(), program.c_str(), "--settings", settings.c_str(),
        static_cast<char*>(nullptr));
  _exit(127);
}

daemon_process::~daemon_process() {
  if (HasEnded()) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void daemon_process::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

bool daemon_process::HasEnded() {
  if (pid_ <= 0) return true;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

bool daemon_process::AwaitEnd(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!HasEnded()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace bronzeroute::standin
