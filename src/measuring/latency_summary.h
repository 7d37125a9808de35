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

/// Latency quantiles of the last 5 to 10 minutes, in constant memory, and totals since the
/// start.
class latency_summary {
 public:
  static constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

  latency_summary();

  void Add(duration latency, time_point now);

  /// Latency at kQuantiles[index]; 0 without a sample in the window.
  duration Quantile(std::size_t index, time_point now) const;
  /// Highest latency in the window; 0 without a sample in it.
  duration Highest(time_point now) const;

  std::uint64_t count() const { return count_; }
  duration sum() const { return sum_; }

 private:
  // The estimator needs this many samples before its markers have values.
  static constexpr std::size_t kMarkers = 2 * kQuantiles.size() + 3;

  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;
  struct generation {
    generation();
    accumulator samples;
    /// The first samples; quantiles of small sets are read from them exactly.
    std::array<double, kMarkers> first{};
  };

  void Rotate(time_point now);
  /// The generation to report, or null if its samples are too old.
  const generation* Reported(time_point now) const;

  /// Every sample goes to both; the older one is reported and then restarted.
  std::array<generation, 2> generations_;
  std::size_t older_ = 0;
  time_point rotate_at_{};
  std::uint64_t count_ = 0;
  duration sum_{};
};

}  // namespace bronzeroute
