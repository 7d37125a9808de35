#pragma once

#include <cstdint>

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

/// What the configuration in effect says about a request.
struct route_decision {
  /// kNone, kNotReady or kUnknownService.
  error_kind error = error_kind::kNone;
  bool is_protected = false;
  bool is_long = false;
  /// True if a route of the document matched and says "short".
  bool is_marked_short = false;
  duration time_limit{};
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
