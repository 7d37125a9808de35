#pragma once

#include <string>

namespace bronzeroute {

/// Where the metrics of one process come from.
struct process_source {
  enum class origin { kAdmin, kFile };

  origin from = origin::kAdmin;
  /// "ip:port" of the admin endpoint, or the path of a saved file.
  std::string name;
  /// From the member table; empty if no member table was read.
  std::string service;
  std::string region;
  std::string availability_zone;
};

}  // namespace bronzeroute
