#pragma once

#include <cstdint>
#include <string_view>

#include "src/accounts/usage_decision.h"
#include "src/base/time.h"

namespace bronzeroute {

class usage_listener;

/// Decides whether the calls of an account may start under its usage cap. Mocked in tests.
class usage_gate {
 public:
  virtual ~usage_gate() = default;

  /// `listener` receives the decisions on pending calls; null to remove it.
  virtual void SetListener(usage_listener* listener) = 0;
  /// Takes a token of `account` for the call with sequence `call`. If the decision is pending,
  /// the listener receives it by `wait_until` at the latest, but not during this function.
  virtual usage_decision Acquire(std::string_view account, std::uint64_t call,
                                 time_point wait_until, time_point now) = 0;
  /// A pending call ended; the listener receives no decision on it.
  virtual void Cancel(std::string_view account, std::uint64_t call) = 0;
  /// A call that was granted a token has not run and never will. `expires` is that of the
  /// decision. The listener is not called during this function.
  virtual void Return(std::string_view account, time_point expires, time_point now) = 0;
};

}  // namespace bronzeroute
