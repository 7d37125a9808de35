#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "src/base/time.h"
#include "src/measuring/budget_charge.h"
#include "src/measuring/budget_counter.h"

namespace bronzeroute {

/// The measuring budget of one daemon: token buckets for bytes and for upstream time. Each
/// cost is charged before it is caused. Charges other than membership probes leave a reserve of
/// bytes, so that they stop first when the account runs low.
class budget_account {
 public:
  /// Limits in bytes and in microseconds of upstream time, per second; 0 refuses every charge.
  budget_account(std::uint64_t bytes_per_second, duration upstream_time_per_second);

  /// Takes the limits of a newly accepted document. What was already charged stays charged.
  void SetLimits(std::uint64_t bytes_per_second, duration upstream_time_per_second);

  /// Charges both buckets, or neither and returns false if one of them lacks tokens.
  bool TryCharge(const budget_charge& charge, time_point now);

  /// TryCharge for a cost in the own zone.
  bool TryCharge(std::uint64_t bytes, duration upstream_time, time_point now);

  /// Charges even into debt, for messages without which failure detection would stop. The debt
  /// delays later charges.
  void ChargeAlways(const budget_charge& charge, time_point now);

  /// Totals per purpose and distance; an instance's own upstream counts as its zone.
  const budget_counter& Counter(charge_purpose purpose, distance where) const;

  std::uint64_t bytes_per_second() const { return bytes_.per_second; }
  /// Most bytes that one charge of `purpose` can ever take.
  std::uint64_t LargestCharge(charge_purpose purpose) const;

 private:
  /// A token bucket kept as the time at which the tokens taken so far are earned.
  struct bucket {
    std::uint64_t per_second = 0;
    /// Most units that can be taken at once after a pause.
    std::uint64_t burst = 0;
    time_point earned{};

    duration TimeFor(std::uint64_t units) const;
    /// True if `units` can be taken and `reserve` stays.
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
