#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "src/base/time.h"
#include "src/logging/log_weight.h"

namespace bronzeroute {

/// Limits the rate of log lines in bytes per second. Lines of lower weight may use only a part
/// of the available budget, so that they are dropped first.
class log_budget {
 public:
  /// Refills at `bytes_per_second`; unused budget accumulates for up to two seconds.
  explicit log_budget(std::size_t bytes_per_second);

  /// If a line of `bytes` fits, charges it and returns true; otherwise counts it as dropped.
  bool TryCharge(log_weight weight, std::size_t bytes, time_point now);
  /// Lines of `weight` dropped since the start.
  std::uint64_t dropped(log_weight weight) const {
    return dropped_[static_cast<std::size_t>(weight)];
  }
  /// Lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  void Refill(time_point now);

  std::size_t bytes_per_second_;
  double available_;
  time_point filled_{};
  std::array<std::uint64_t, 3> dropped_{};
  std::uint64_t unreported_ = 0;
};

}  // namespace bronzeroute
