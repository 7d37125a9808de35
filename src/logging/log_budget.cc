#include "src/logging/log_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bronzeroute {
namespace {

constexpr double kBurstSeconds = 2;
// Share of the budget that lines of this weight must leave for lines of higher weight.
constexpr double kReservedFromSuccesses = 0.5;
constexpr double kReservedFromProblems = 0.2;

double ReservedShare(log_weight weight) {
  switch (weight) {
    case log_weight::kSuccess:
      return kReservedFromSuccesses;
    case log_weight::kProblem:
      return kReservedFromProblems;
    case log_weight::kState:
      break;
  }
  return 0;
}

}  // namespace

log_budget::log_budget(std::size_t bytes_per_second)
    : bytes_per_second_(bytes_per_second),
      available_(kBurstSeconds * static_cast<double>(bytes_per_second)) {}

void log_budget::Refill(time_point now) {
  const double limit = kBurstSeconds * static_cast<double>(bytes_per_second_);
  if (filled_ != time_point{} && now > filled_) {
    const std::chrono::duration<double> gap = now - filled_;
    available_ += gap.count() * static_cast<double>(bytes_per_second_);
  }
  available_ = std::min(available_, limit);
  filled_ = std::max(filled_, now);
}

bool log_budget::TryCharge(log_weight weight, std::size_t bytes, time_point now) {
  Refill(now);
  const double limit = kBurstSeconds * static_cast<double>(bytes_per_second_);
  if (available_ - static_cast<double>(bytes) < ReservedShare(weight) * limit) {
    ++dropped_[static_cast<std::size_t>(weight)];
    ++unreported_;
    return false;
  }
  available_ -= static_cast<double>(bytes);
  return true;
}

std::uint64_t log_budget::TakeDropped() { return std::exchange(unreported_, 0); }

}  // namespace bronzeroute
