#pragma once

#include <string>
#include <vector>

#include "src/report/process_source.h"

namespace bronzeroute {

/// The members that one daemon knows, split by whether a report can ask them.
struct member_list {
  struct absent_member {
    std::string name;
    /// "dead" or "left".
    std::string state;
  };

  /// Members that are alive or suspected. One without an admin address has an empty name.
  std::vector<process_source> live;
  std::vector<absent_member> absent;
};

}  // namespace bronzeroute
