#pragma once

#include <string_view>

#include "src/base/error_kind.h"
#include "src/base/execution.h"
#include "src/base/time.h"

namespace bronzeroute {

/// One row of the table from error kind to answer.
struct error_response {
  error_kind kind = error_kind::kNone;
  std::string_view name;
  int http_status = 0;
  /// What the kind says about the request that is answered.
  execution state = execution::kUnknown;
  /// True if another owner may be tried without repeating work.
  bool try_elsewhere = false;
  std::string_view text;
  /// When the caller may come back; 0 if the answer says nothing about that.
  duration retry_after{};
};

}  // namespace bronzeroute
