#pragma once

#include <string>
#include <vector>

#include "src/report/process_source.h"

namespace bronzeroute {

/// The member table of one daemon, split by whether a report can read the members.
struct member_list {
  struct absent_member {
    std::string name;
    /// "dead" or "left".
    std::string state;
  };

  /// Members that are alive or suspected. For a member without an admin address, the name is
  /// empty.
  std::vector<process_source> live;
  std::vector<absent_member> absent;
};

}  // namespace bronzeroute
