#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>

namespace bronzeroute::standin {

/// A daemon as a child process, with its output appended to a file. The destructor kills it.
class daemon_process {
 public:
  /// Starts `program --settings settings`. Throws std::runtime_error if it cannot be started.
  daemon_process(const std::string& program, const std::string& settings,
                 const std::string& output_file);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  void Signal(int number) const;
  /// True once the process has ended.
  bool HasEnded();
  /// Waits for the end; false if it still runs after `limit`.
  bool AwaitEnd(std::chrono::milliseconds limit);

 private:
  pid_t pid_ = -1;
};

}  // namespace bronzeroute::standin
