#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"
#include "src/calls/retry_shares.h"

namespace bronzeroute {

/// Limits the further attempts for a service to shares of its first attempts in the last ten
/// seconds.
class retry_budget {
 public:
  explicit retry_budget(retry_shares shares = {}) : shares_(shares) {}

  void CountFirstAttempt(time_point now);
  /// Takes one attempt from the budget for refused calls, if it has one left. The limit in ten
  /// seconds is the share, but at least 5, so that a daemon with little traffic can also send a
  /// refused call to another owner.
  bool TryAcquireAfterRefusal(time_point now);
  /// True if the next `TryAcquireAfterRefusal` would succeed.
  bool CanAcquireAfterRefusal(time_point now) const;
  /// Takes one attempt from the budget for calls that may have reached an upstream, if it has
  /// one left. The limit in ten seconds is the share, but at least 1.
  bool TryAcquireAfterArrival(time_point now);

 private:
  struct bucket {
    std::int64_t second = -1;
    std::uint64_t first = 0;
    std::uint64_t after_refusal = 0;
    std::uint64_t after_arrival = 0;
  };
  bucket& Current(time_point now);
  bucket Sum(time_point now) const;

  retry_shares shares_;
  std::array<bucket, 10> buckets_;
};

}  // namespace bronzeroute
