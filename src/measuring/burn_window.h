#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/base/time.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Sliding window over the last `slots` x `width` that counts requests by result. It advances
/// in steps of `width`.
class burn_window {
 public:
  /// Requests per result, indexed by request_result.
  using counts = std::array<std::uint64_t, kRequestResults>;

  struct slot_counts {
    /// Age of the slot in steps; 0 for the current step.
    std::uint64_t steps_ago = 0;
    counts results{};
  };

  /// `unix_offset` is the Unix time at time_point{}. It aligns the steps to whole multiples of
  /// `width` in Unix time, so that windows of several processes can be summed step by step.
  burn_window(duration width, std::size_t slots, duration unix_offset = {})
      : width_(width), unix_offset_(unix_offset), slots_(slots) {}

  void Add(request_result result, time_point now);

  /// Counts over the whole window.
  counts Counts(time_point now) const;

  /// Counts of the steps that have requests, oldest first.
  std::vector<slot_counts> Slots(time_point now) const;

  /// Burn rate of the error budget: share of bad requests divided by the share that `objective`
  /// allows. A constant rate of 1 uses up the budget exactly at the end of its period. 0
  /// without requests; infinite if an objective of 1 is missed.
  double Rate(double objective, time_point now) const;

 private:
  struct slot {
    /// First step at which the slot is no longer part of the window.
    std::int64_t expires = 0;
    counts results{};
  };

  std::int64_t StepAt(time_point now) const {
    return (now.time_since_epoch() + unix_offset_) / width_;
  }

  duration width_;
  duration unix_offset_;
  std::vector<slot> slots_;
};

/// Burn rate for the counts `results`; see burn_window::Rate.
double BurnRate(const burn_window::counts& results, double objective);

/// Number of requests that were not served in time.
std::uint64_t BadRequests(const burn_window::counts& results);

/// Number of requests with any result.
std::uint64_t AllRequests(const burn_window::counts& results);

}  // namespace bronzeroute
