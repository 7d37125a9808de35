#pragma once

#include <concepts>

#include "src/accounts/usage_times.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Rules of `basic_usage_limiter` that its bound depends on. Tests inject faults by replacing
/// them.
template <typename Rules>
concept usage_rules_type = requires(time_point at) {
  { Rules::TokenExpiry(at, at) } -> std::same_as<time_point>;
  { Rules::MayDelegateFrom(at) } -> std::same_as<time_point>;
};

struct usage_rules {
  /// Expiry of lent tokens. The lender took them from its pool after the request was sent, so
  /// that a life measured from the request ends no later than one measured at the lender.
  static time_point TokenExpiry(time_point requested, time_point /*received*/) {
    return requested + kTokenLife;
  }
  /// Time from which a share may be delegated to another lender than the one to which it was
  /// delegated last at `renewed`.
  static time_point MayDelegateFrom(time_point renewed) { return renewed + kDelegationHold; }
};

}  // namespace bronzeroute
