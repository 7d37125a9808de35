#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

enum class usage_state : std::uint8_t { kGranted, kPending, kDenied };

/// Whether a request may run under the usage cap of its account.
struct usage_decision {
  usage_state state = usage_state::kGranted;
  /// If granted: time until which the token may be used for another request should this one be
  /// refused unstarted. The earliest time if no token was taken.
  time_point expires = time_point::min();
  /// If denied: time at which a token may be available.
  time_point retry_at{};
};

}  // namespace bronzeroute
