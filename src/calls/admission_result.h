#pragma once

#include <cstdint>

#include "src/base/error_kind.h"

namespace bronzeroute {

/// Decision of admission control on a submitted attempt.
struct admission_result {
  enum class state : std::uint8_t { kStarted, kQueued, kRefused };

  state decision = state::kRefused;
  /// Reason of a refusal. All reasons used here have the execution state not-run in the error
  /// table.
  error_kind kind = error_kind::kNone;
};

}  // namespace bronzeroute
