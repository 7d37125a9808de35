#pragma once

#include <sys/types.h>

#include <span>
#include <string>

namespace bronzeroute::testing {

/// Runs a program of the build as a child process; the destructor kills it.
class child_process {
 public:
  /// Starts `program` from the bin folder of the build. Its output is appended to
  /// `output_file`.
  child_process(const std::string& program, std::span<const std::string> arguments,
                const std::string& output_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number) const;
  /// Waits for the end; returns the exit code, or -1 if a signal ended it.
  int Wait();
  bool IsRunning();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace bronzeroute::testing
