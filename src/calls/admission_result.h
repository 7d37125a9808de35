#pragma once

#include <cstdint>

#include "src/base/error_kind.h"

namespace bronzeroute {

/// What admission decided on an offered attempt.
struct admission_result {
  enum class state : std::uint8_t { kStarted, kQueued, kRefused };

  state decision = state::kRefused;
  /// Reason of a refusal; its row of the error table states that the attempt was not run.
  error_kind kind = error_kind::kNone;
};

}  // namespace bronzeroute
