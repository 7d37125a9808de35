#include "src/calls/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bronzeroute {
namespace {

constexpr std::uint64_t kRefusalPercent = 20;
constexpr std::uint64_t kRefusalFloor = 5;
constexpr std::uint64_t kReexecutionPercent = 2;
constexpr std::uint64_t kReexecutionFloor = 1;

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
    sum.reexecutions += one.reexecutions;
  }
  return sum;
}

void retry_budget::CountFirstAttempt(time_point now) { ++Current(now).first; }

bool retry_budget::TryAfterRefusal(time_point now) {
  const bucket sum = Sum(now);
  if (sum.after_refusal >= std::max(kRefusalFloor, sum.first * kRefusalPercent / 100)) {
    return false;
  }
  ++Current(now).after_refusal;
  return true;
}

bool retry_budget::TryReexecution(time_point now) {
  const bucket sum = Sum(now);
  if (sum.reexecutions >= std::max(kReexecutionFloor, sum.first * kReexecutionPercent / 100)) {
    return false;
  }
  ++Current(now).reexecutions;
  return true;
}

}  // namespace bronzeroute
