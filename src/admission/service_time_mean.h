#pragma once

#include <algorithm>
#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Exponentially weighted mean of observed service times.
class service_time_mean {
 public:
  void Add(duration value) {
    ++count_;
    // The plain mean of the first observations limits the influence of the very first one.
    const double weight = std::max(kWeight, 1.0 / static_cast<double>(count_));
    mean_us_ += weight * (static_cast<double>(value.count()) - mean_us_);
  }

  std::uint64_t count() const { return count_; }
  double mean_us() const { return mean_us_; }
  duration Mean() const { return duration(static_cast<duration::rep>(mean_us_)); }

 private:
  // Averages over about 16 calls, which is some 10 ms at a loaded upstream: the time scale on
  // which load shifts.
  static constexpr double kWeight = 1.0 / 16;

  std::uint64_t count_ = 0;
  double mean_us_ = 0;
};

}  // namespace bronzeroute
