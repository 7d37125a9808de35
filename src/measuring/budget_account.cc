#include "src/measuring/budget_account.h"

#include <algorithm>

namespace bronzeroute {
namespace {

constexpr std::uint64_t kMicrosPerSecond = 1'000'000;

// Size of a full membership datagram with its IP and UDP headers. A smaller burst could never
// send one.
constexpr std::uint64_t kMinBurstBytes = 1'228;

// Longest time that debt beyond the burst can block charges; any further debt is cancelled.
constexpr duration kMaxDebt = std::chrono::seconds(10);

// Assumes that one health probe takes up to 6 ms of an upstream's time; a smaller burst would
// refuse such a probe for ever.
constexpr std::uint64_t kMinBurstMicros = 6'000;

// Bytes of two membership probes with their acknowledgements.
constexpr std::uint64_t kProbeReserve = 400;

std::uint64_t ReserveFor(charge_purpose purpose) {
  return purpose == charge_purpose::kMembershipProbe ? 0 : kProbeReserve;
}

std::size_t DistanceIndex(distance where) {
  switch (where) {
    case distance::kOtherRegion:
      return 2;
    case distance::kSameRegion:
      return 1;
    case distance::kSameInstance:
    case distance::kSameZone:
      break;
  }
  return 0;
}

}  // namespace

duration budget_account::bucket::TimeFor(std::uint64_t units) const {
  return duration((units * kMicrosPerSecond + per_second - 1) / per_second);
}

bool budget_account::bucket::Has(std::uint64_t units, std::uint64_t reserve,
                                 time_point now) const {
  if (units == 0) return true;
  if (per_second == 0) return false;
  return std::max(replenished_at, now) + TimeFor(units + reserve) <= now + TimeFor(burst);
}

void budget_account::bucket::Take(std::uint64_t units, time_point now) {
  if (units == 0 || per_second == 0) return;
  replenished_at =
      std::min(std::max(replenished_at, now) + TimeFor(units), now + TimeFor(burst) + kMaxDebt);
}

budget_account::budget_account(std::uint64_t bytes_per_second,
                               duration upstream_time_per_second) {
  SetLimits(bytes_per_second, upstream_time_per_second);
}

void budget_account::SetLimits(std::uint64_t bytes_per_second,
                               duration upstream_time_per_second) {
  bytes_.per_second = bytes_per_second;
  bytes_.burst = std::max(bytes_per_second, kMinBurstBytes);
  upstream_.per_second = static_cast<std::uint64_t>(upstream_time_per_second.count());
  upstream_.burst = std::max(upstream_.per_second, kMinBurstMicros);
}

bool budget_account::TryCharge(const budget_charge& charge, time_point now) {
  const auto micros = static_cast<std::uint64_t>(charge.upstream_time.count());
  if (!bytes_.Has(charge.bytes, ReserveFor(charge.purpose), now) ||
      !upstream_.Has(micros, 0, now)) {
    ++MutableCounter(charge).refused;
    return false;
  }
  Take(charge, now);
  return true;
}

bool budget_account::TryCharge(std::uint64_t bytes, duration upstream_time, time_point now) {
  return TryCharge(budget_charge{.bytes = bytes, .upstream_time = upstream_time}, now);
}

void budget_account::ChargeAlways(const budget_charge& charge, time_point now) {
  const auto micros = static_cast<std::uint64_t>(charge.upstream_time.count());
  if (!bytes_.Has(charge.bytes, 0, now) || !upstream_.Has(micros, 0, now)) {
    ++MutableCounter(charge).forced;
  }
  Take(charge, now);
}

std::uint64_t budget_account::MaxCharge(charge_purpose purpose) const {
  return bytes_.burst - ReserveFor(purpose);
}

const budget_counter& budget_account::Counter(charge_purpose purpose, distance where) const {
  return counters_[static_cast<std::size_t>(purpose)][DistanceIndex(where)];
}

budget_counter& budget_account::MutableCounter(const budget_charge& charge) {
  return counters_[static_cast<std::size_t>(charge.purpose)][DistanceIndex(charge.where)];
}

void budget_account::Take(const budget_charge& charge, time_point now) {
  bytes_.Take(charge.bytes, now);
  upstream_.Take(static_cast<std::uint64_t>(charge.upstream_time.count()), now);
  budget_counter& counter = MutableCounter(charge);
  ++counter.charges;
  counter.bytes += charge.bytes;
  counter.upstream_time += charge.upstream_time;
}

}  // namespace bronzeroute
