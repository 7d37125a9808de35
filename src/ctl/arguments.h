#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzeroute {

/// The command line of `brctl`.
struct arguments {
  std::string command;
  /// Positional arguments after the command: a file or a call id.
  std::vector<std::string> operands;
  /// Address of the log, "ip:port".
  std::string log;
  /// Admin addresses of daemons, "ip:port".
  std::vector<std::string> admin;
  std::string environment;
  /// Version that the published document is based on, if given.
  std::optional<std::int64_t> base;
  /// Digest that the accepted trial document must have, if given.
  std::string digest;
  /// Id of the publication whose outcome is requested; empty if none.
  std::string publication;
  /// Number of ready members that each daemon must report to `wait`.
  int members = 1;
  /// Time limit of a request to the log or a daemon; for `wait`, of the whole command.
  std::chrono::milliseconds timeout{};
};

}  // namespace bronzeroute
