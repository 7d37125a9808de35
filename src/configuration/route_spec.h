#pragma once

#include <string>

#include "src/base/time.h"

namespace bronzeroute {

/// How requests with one path prefix of a service are handled.
struct route_spec {
  /// HTTP method, or "*" for any.
  std::string method = "*";
  /// Path prefix, begins with "/<service>". The longest matching prefix applies.
  std::string prefix;
  /// True if a request must run at most once.
  bool is_protected = false;
  /// True for requests that take many times longer than others, such as uploads of photo sets.
  bool is_long = false;
  /// Time allowed from arrival to the complete response if the caller names no deadline.
  duration time_limit{};
};

}  // namespace bronzeroute
