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
  /// What follows the command: a file or a call id.
  std::vector<std::string> operands;
  /// Address of the log, "ip:port".
  std::string log;
  /// Admin addresses of daemons, "ip:port".
  std::vector<std::string> admin;
  std::string environment;
  /// Version that the operator's change builds on, if named.
  std::optional<std::int64_t> base;
  /// Digest of the document that the operator tried, if named.
  std::string digest;
  std::string publication;
  /// Serving members that each daemon must know.
  int members = 1;
  std::chrono::milliseconds timeout{};
};

}  // namespace bronzeroute
