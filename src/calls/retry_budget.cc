#include "src/calls/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bronzeroute {
namespace {

constexpr std::uint64_t kRefusalFloor = 5;
constexpr std::uint64_t kArrivalFloor = 1;

std::uint64_t Limit(double share, std::uint64_t first, std::uint64_t floor) {
  return std::max(floor, static_cast<std::uint64_t>(share * static_cast<double>(first)));
}

std::int64_t Second(time_point now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

retry_budget::bucket& retry_budget::Current(time_point now) {
  const std::int64_t second = Second(now);
  bucket& result = buckets_[static_cast<std::size_t>(second) % buckets_.size()];
  if (result.second != second) result = bucket{.second = second};
  return result;
}

retry_budget::bucket retry_budget::Sum(time_point now) const {
  const std::int64_t oldest = Second(now) - static_cast<std::int64_t>(buckets_.size());
  bucket sum;
  for (const bucket& one : buckets_) {
    if (one.second <= oldest) continue;
    sum.first += one.first;
    sum.after_refusal += one.after_refusal;
    sum.after_arrival += one.after_arrival;
  }
  return sum;
}

void retry_budget::CountFirstAttempt(time_point now) { ++Current(now).first; }

bool retry_budget::TryAcquireAfterRefusal(time_point now) {
  if (!CanAcquireAfterRefusal(now)) return false;
  ++Current(now).after_refusal;
  return true;
}

bool retry_budget::CanAcquireAfterRefusal(time_point now) const {
  const bucket sum = Sum(now);
  return sum.after_refusal < Limit(shares_.after_refusal, sum.first, kRefusalFloor);
}

bool retry_budget::TryAcquireAfterArrival(time_point now) {
  const bucket sum = Sum(now);
  if (sum.after_arrival >= Limit(shares_.after_arrival, sum.first, kArrivalFloor)) {
    return false;
  }
  ++Current(now).after_arrival;
  return true;
}

}  // namespace bronzeroute
