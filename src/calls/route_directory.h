#pragma once

#include <string_view>

#include "src/calls/route_decision.h"

namespace bronzeroute {

/// The configuration in effect as the entry uses it.
class route_directory {
 public:
  virtual ~route_directory() = default;

  virtual route_decision Find(std::string_view service, std::string_view method,
                              std::string_view path) = 0;
};

}  // namespace bronzeroute
