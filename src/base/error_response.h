#pragma once

#include <string_view>

#include "src/base/error_kind.h"
#include "src/base/execution.h"
#include "src/base/time.h"

namespace bronzeroute {

/// One row of the table that maps an error kind to the response sent to the caller.
struct error_response {
  error_kind kind = error_kind::kNone;
  std::string_view name;
  int http_status = 0;
  /// Whether the request ran, as implied by the kind.
  execution state = execution::kUnknown;
  /// True if an attempt at another owner cannot run the request twice.
  bool try_elsewhere = false;
  std::string_view text;
  /// Value of the Retry-After field; 0 if the response has none.
  duration retry_after{};
};

}  // namespace bronzeroute
