#include "src/admission/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace bronzeroute {
namespace {

// Starts per second that a lower limit still allows, to find out when it ends.
constexpr double kInquiryRate = 0.5;
// Starts that may follow at once after a pause, in seconds of the limit, but at least one.
constexpr double kBurstSeconds = 0.25;
constexpr double kMicrosecondsPerSecond = 1e6;
// Longest wait that is reported, one hour; a longer one is meaningless and must not overflow.
constexpr double kMaxWaitUs = 3600 * kMicrosecondsPerSecond;
// Keeps the sum of fractions of a start from staying below a whole one by rounding.
constexpr double kCreditRounding = 1e-9;

}  // namespace

double rate_limit::burst() const { return std::max(1.0, kBurstSeconds * rate_); }

double rate_limit::CreditAt(time_point now) const {
  const double gained =
      rate_ * static_cast<double>((now - credit_at_).count()) / kMicrosecondsPerSecond;
  return std::min(burst(), credit_ + std::max(gained, 0.0)) + kCreditRounding;
}

bool rate_limit::Name(double per_second, time_point now) {
  const double before = rate_;
  credit_ = IsSet() ? CreditAt(now) : 0;
  credit_at_ = now;
  named_at_ = now;
  rate_ = std::max(per_second, kInquiryRate);
  return before == 0 || rate_ < before;
}

void rate_limit::End(time_point asked) {
  if (asked > named_at_) Clear();
}

void rate_limit::OnStart(time_point now) {
  if (!IsSet()) return;
  credit_ = CreditAt(now) - 1;
  credit_at_ = now;
}

duration rate_limit::Wait(std::size_t ahead, time_point now) const {
  if (!IsSet()) return duration(0);
  const double missing = static_cast<double>(ahead) + 1 - CreditAt(now);
  const double wait = std::max(missing, 0.0) / rate_ * kMicrosecondsPerSecond;
  return duration(static_cast<duration::rep>(std::ceil(std::min(wait, kMaxWaitUs))));
}

}  // namespace bronzeroute
