#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "src/base/time.h"
#include "src/measuring/budget_charge.h"
#include "src/measuring/budget_counter.h"

namespace bronzeroute {

/// Measuring budget of one daemon: a token bucket for bytes and one for upstream time. Each
/// cost is charged before it is incurred. Only membership probes may use the last tokens of the
/// byte bucket; other charges leave a reserve and are therefore refused first.
class budget_account {
 public:
  /// Limits per second, in bytes and in upstream time; a limit of 0 refuses every charge.
  budget_account(std::uint64_t bytes_per_second, duration upstream_time_per_second);

  /// Applies the limits of a newly accepted document. Earlier charges stay in effect.
  void SetLimits(std::uint64_t bytes_per_second, duration upstream_time_per_second);

  /// Charges both buckets and returns true, or neither and returns false if either has too few
  /// tokens.
  bool TryCharge(const budget_charge& charge, time_point now);

  /// TryCharge for a membership probe within the own zone.
  bool TryCharge(std::uint64_t bytes, duration upstream_time, time_point now);

  /// Charges both buckets even if they have too few tokens, for messages that failure detection
  /// depends on. The resulting debt delays later charges.
  void ChargeAlways(const budget_charge& charge, time_point now);

  /// Totals for a purpose and a distance. Costs within the own instance count as its zone.
  const budget_counter& Counter(charge_purpose purpose, distance where) const;

  std::uint64_t bytes_per_second() const { return bytes_.per_second; }
  /// Largest number of bytes that a single charge for `purpose` can take.
  std::uint64_t MaxCharge(charge_purpose purpose) const;

 private:
  /// Token bucket, stored as the time at which the tokens taken so far are replenished (generic
  /// cell rate algorithm).
  struct bucket {
    std::uint64_t per_second = 0;
    /// Capacity: the largest number of units that can be taken at once.
    std::uint64_t burst = 0;
    time_point replenished_at{};

    duration TimeFor(std::uint64_t units) const;
    /// True if the bucket has `units` and `reserve` more.
    bool Has(std::uint64_t units, std::uint64_t reserve, time_point now) const;
    void Take(std::uint64_t units, time_point now);
  };

  budget_counter& MutableCounter(const budget_charge& charge);
  void Take(const budget_charge& charge, time_point now);

  bucket bytes_;
  bucket upstream_;
  std::array<std::array<budget_counter, 3>, kChargePurposes> counters_{};
};

}  // namespace bronzeroute
