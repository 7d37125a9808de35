#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Limits further attempts to shares of the first attempts of the last ten seconds.
class retry_budget {
 public:
  void CountFirstAttempt(time_point now);
  /// True, and counted, if a refused call may be offered elsewhere: at most 20%, or 5 in ten
  /// seconds. The floor lets a quiet daemon try again.
  bool TryAfterRefusal(time_point now);
  /// True, and counted, if a call that may have run may be sent again: at most 2%, or 1 in ten
  /// seconds.
  bool TryReexecution(time_point now);

 private:
  struct bucket {
    std::int64_t second = -1;
    std::uint64_t first = 0;
    std::uint64_t after_refusal = 0;
    std::uint64_t reexecutions = 0;
  };
  bucket& Current(time_point now);
  bucket Sum(time_point now) const;

  std::array<bucket, 10> buckets_;
};

}  // namespace bronzeroute
