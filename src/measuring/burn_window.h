#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/base/time.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Counts the requests of the last `slots` x `width` of time by their result. The window moves
/// in steps of `width`.
class burn_window {
 public:
  /// Requests per result, indexed by request_result.
  using counts = std::array<std::uint64_t, kRequestResults>;

  struct slot_counts {
    /// 0 for the current step.
    std::uint64_t steps_ago = 0;
    counts results{};
  };

  /// With `unix_offset`, the Unix time at time_point{}, the steps begin at whole multiples of
  /// `width` in Unix time, so that windows of several processes can be summed step by step.
  burn_window(duration width, std::size_t slots, duration unix_offset = {})
      : width_(width), unix_offset_(unix_offset), slots_(slots) {}

  void Add(request_result result, time_point now);

  /// Requests in the window.
  counts Counts(time_point now) const;

  /// The steps of the window that have requests, oldest first.
  std::vector<slot_counts> Slots(time_point now) const;

  /// Share of bad requests in the window divided by the share that `objective` allows: at 1
  /// the allowance is used up exactly by the end of its period. 0 without requests; infinite
  /// if an objective of 1 is missed.
  double Rate(double objective, time_point now) const;

 private:
  struct slot {
    /// The slot counts for the window until this step.
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

/// Burn rate of `results`; see burn_window::Rate.
double BurnRate(const burn_window::counts& results, double objective);

/// Requests in `results` that missed the objective.
std::uint64_t BadRequests(const burn_window::counts& results);

/// All requests in `results`.
std::uint64_t AllRequests(const burn_window::counts& results);

}  // namespace bronzeroute
