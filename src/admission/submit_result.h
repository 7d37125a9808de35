#pragma once

#include <cstdint>

#include "src/base/error_kind.h"

namespace bronzeroute {

enum class submit_state : std::uint8_t { kStarted, kQueued, kRefused };

/// Decision of the admission system on a submitted attempt.
struct submit_result {
  submit_state state = submit_state::kRefused;
  /// Why it was refused; kNone otherwise. A refused attempt has not run.
  error_kind kind = error_kind::kNone;
  /// True if the work was classified as long.
  bool is_long = false;
};

}  // namespace bronzeroute
