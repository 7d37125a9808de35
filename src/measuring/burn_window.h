#pragma once

#include <cstdint>
#include <vector>

#include "src/base/time.h"

namespace bronzeroute {

/// Counts good and bad requests of the last `slots` x `width` of time. The window moves in
/// steps of `width`.
class burn_window {
 public:
  burn_window(duration width, std::size_t slots) : width_(width), slots_(slots) {}

  void Add(bool good, time_point now);

  /// Share of bad requests in the window divided by the share that `objective` allows: at 1
  /// the allowance is used up exactly by the end of its period. 0 without requests; infinite
  /// if an objective of 1 is missed.
  double Rate(double objective, time_point now) const;

 private:
  struct slot {
    /// The slot counts for the window until then.
    time_point expires;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
  };

  duration width_;
  std::vector<slot> slots_;
};

}  // namespace bronzeroute
