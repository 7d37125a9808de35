#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"
#include "src/calls/retry_shares.h"

namespace bronzeroute {

/// Limits further attempts to shares of the first attempts of the last ten seconds.
class retry_budget {
 public:
  explicit retry_budget(retry_shares shares = {}) : shares_(shares) {}

  void CountFirstAttempt(time_point now);
  /// True, and counted, if a refused call may be offered elsewhere: at most the share, or 5 in
  /// ten seconds. The floor lets a quiet daemon try again.
  bool TryAcquireAfterRefusal(time_point now);
  /// True if the next `TryAfterRefusal` would be true.
  bool CanAcquireAfterRefusal(time_point now) const;
  /// True, and counted, if a call that reached an upstream may be sent to another: at most the
  /// share, or 1 in ten seconds.
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
