#pragma once

#include <string_view>
#include <vector>

#include "src/calls/member_target.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

/// The membership view, as the entry uses it to find the home of a key.
class member_directory {
 public:
  virtual ~member_directory() = default;

  /// Live members in `regions` that serve `service`, draining ones included, in any order.
  virtual std::vector<member_target> LiveMembers(std::string_view service,
                                                 const region_limit& regions) = 0;
  /// True if the availability zone of `member` is evacuated, so that it must get no work.
  virtual bool IsEvacuated(member_id /*member*/) const { return false; }
};

}  // namespace bronzeroute
