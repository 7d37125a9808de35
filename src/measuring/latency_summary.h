#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Estimates latency quantiles over the last 5 to 10 minutes in constant memory, and keeps
/// count and sum since the process started.
class latency_summary {
 public:
  static constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

  latency_summary();

  void Add(duration latency, time_point now);

  /// Estimate of the quantile kQuantiles[index]; 0 without samples in the window.
  duration Quantile(std::size_t index, time_point now) const;
  /// Highest latency; 0 without samples in the window.
  duration Highest(time_point now) const;

  std::uint64_t count() const { return count_; }
  duration sum() const { return sum_; }

 private:
  // Number of markers of the extended P-square estimator, and so the number of samples that it
  // needs before all markers have values.
  static constexpr std::size_t kMarkers = 2 * kQuantiles.size() + 3;

  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;
  struct generation {
    generation();
    accumulator samples;
    /// The first kMarkers samples, from which quantiles of small sets are computed exactly.
    std::array<double, kMarkers> first_samples{};
  };

  void Rotate(time_point now);
  /// The generation whose quantiles are reported; null if it has no samples in the window.
  const generation* Reported(time_point now) const;

  /// Each sample is added to both. The older one is reported, and reset after 5 minutes.
  std::array<generation, 2> generations_;
  std::size_t older_ = 0;
  time_point rotate_at_{};
  std::uint64_t count_ = 0;
  duration sum_{};
};

}  // namespace bronzeroute
