#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

struct usage_decision;

/// Receives the decisions on calls that wait for a token of their account.
class usage_listener {
 public:
  virtual ~usage_listener() = default;

  /// `call` is the sequence that was passed to `usage_gate::Acquire`.
  virtual void OnUsageGranted(std::uint64_t call, const usage_decision& decision,
                              time_point now) = 0;
  virtual void OnUsageDenied(std::uint64_t call, const usage_decision& decision,
                             time_point now) = 0;
};

}  // namespace bronzeroute
