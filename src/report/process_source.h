#pragma once

#include <string>

namespace bronzeroute {

/// Where the metrics of one process come from.
struct process_source {
  enum class origin { kAdmin, kFile };

  origin from = origin::kAdmin;
  /// "ip:port" of the admin endpoint, or the path of a saved file.
  std::string name;
  /// What the member table says of the process; empty if it was not asked.
  std::string service;
  std::string region;
  std::string availability_zone;
};

}  // namespace bronzeroute
