#include "tests/process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>
#include <vector>

namespace bronzeroute::testing {

child_process::child_process(const std::string& program, std::span<const std::string> arguments,
                             const std::string& output_file) {
  const std::string path = std::string(BRONZEROUTE_BIN) + "/" + program;
  std::vector<std::string> texts{path};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    argv.push_back(text.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

child_process::~child_process() {
  if (IsRunning()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
}

void child_process::Signal(int number) const { kill(pid_, number); }

int child_process::Wait() {
  if (!ended_) {
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

bool child_process::IsRunning() {
  if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
    ended_ = true;
  }
  return !ended_;
}

}  // namespace bronzeroute::testing
