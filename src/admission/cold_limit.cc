#include "src/admission/cold_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bronzeroute {
namespace {

constexpr duration kWindow = std::chrono::seconds(1);
// Upstreams announce themselves every 1.5 to 2 s. If the last announcement is older, its end of
// the cold time is outdated: the time counts only while the upstream gets traffic.
constexpr duration kStatementValidity = std::chrono::milliseconds(2500);
// An upstream takes kToleratedRate * rate + kToleratedExtra requests in any second.
constexpr double kToleratedRate = 1.5;
constexpr double kToleratedExtra = 8;

}  // namespace

void cold_limit::Configure(double per_second, duration cold_time, time_point now) {
  const bool was_cold = IsCold(now) && per_second == per_second_;
  per_second_ = per_second;
  cold_time_ = cold_time;
  if (!is_configured_) assumed_at_ = now;
  is_configured_ = true;
  UpdateSpread(was_cold, now);
}

void cold_limit::AssumeCold(time_point now) {
  const bool was_cold = IsCold(now);
  is_assumed_ = true;
  assumed_at_ = now;
  UpdateSpread(was_cold, now);
}

void cold_limit::OnStated(time_point warm_at, time_point now) {
  const bool was_cold = IsCold(now);
  is_assumed_ = false;
  has_stated_ = true;
  stated_at_ = now;
  warm_at_ = warm_at;
  UpdateSpread(was_cold, now);
}

void cold_limit::UpdateSpread(bool was_cold, time_point now) {
  if (was_cold || !IsCold(now)) return;
  spread_.Clear();
  spread_.Name(per_second_, now);
}

bool cold_limit::IsCold(time_point now) const {
  if (per_second_ <= 0) return false;
  if (is_assumed_) return has_stated_ || now < assumed_at_ + cold_time_;
  return now < warm_at_ || warm_at_ > stated_at_ + kStatementValidity;
}

std::size_t cold_limit::MostInWindow() const {
  return static_cast<std::size_t>(spread_.rate() + spread_.burst());
}

std::size_t cold_limit::InWindow(time_point now) const {
  const auto first = std::ranges::upper_bound(starts_, now - kWindow);
  return static_cast<std::size_t>(starts_.end() - first);
}

bool cold_limit::MayStart(std::size_t running, time_point now) const {
  if (!IsCold(now)) return true;
  // If the upstream stalls, all running requests may reach it in the same second as those that
  // start then.
  const double most_running =
      kToleratedRate * per_second_ + kToleratedExtra - (spread_.rate() + spread_.burst());
  return static_cast<double>(running) + 1 <= std::max(most_running, 1.0) &&
         InWindow(now) < MostInWindow() && spread_.MayStart(now);
}

void cold_limit::OnStart(time_point now) {
  // Counted in the warm state as well: the upstream turns cold before its announcement arrives.
  while (!starts_.empty() && starts_.front() <= now - kWindow) starts_.pop_front();
  if (per_second_ > 0) starts_.push_back(now);
  if (IsCold(now)) spread_.OnStart(now);
}

duration cold_limit::Wait(std::size_t ahead, time_point now) const {
  if (!IsCold(now)) return duration(0);
  const duration spread = spread_.Wait(ahead, now);
  const std::size_t started = InWindow(now);
  const std::size_t wanted = started + ahead + 1;
  if (wanted <= MostInWindow()) return spread;
  // The start is allowed once enough of the counted ones are older than the window.
  const std::size_t expiring = std::min(wanted - MostInWindow(), started);
  if (expiring == 0) return spread;
  const time_point last = starts_[starts_.size() - started + expiring - 1];
  return std::max(spread, last + kWindow - now);
}

}  // namespace bronzeroute
