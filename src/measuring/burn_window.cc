#include "src/measuring/burn_window.h"

#include <limits>

namespace bronzeroute {

void burn_window::Add(bool good, time_point now) {
  const auto step = now.time_since_epoch() / width_;
  const auto count = static_cast<duration::rep>(slots_.size());
  slot& current = slots_[static_cast<std::size_t>(step % count)];
  const time_point expires = time_point((step + count) * width_);
  if (current.expires != expires) current = slot{.expires = expires};
  ++(good ? current.good : current.bad);
}

double burn_window::Rate(double objective, time_point now) const {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
  for (const slot& each : slots_) {
    if (each.expires <= now) continue;
    good += each.good;
    bad += each.bad;
  }
  if (bad == 0) return 0;
  const double share = static_cast<double>(bad) / static_cast<double>(good + bad);
  if (objective >= 1) return std::numeric_limits<double>::infinity();
  return share / (1 - objective);
}

}  // namespace bronzeroute
