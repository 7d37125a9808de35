#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "src/admission/rate_limit.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Limits the starts at an upstream while it is cold. The upstream fails if it gets more than
/// 1.5 times the configured rate + 8 requests in some second, so three limits apply together:
/// starts are spread evenly at the configured rate, the starts of the last second are counted
/// even if the upstream was not known to be cold, and few requests run at a time.
///
/// The upstream counts as cold from the creation of this object or `AssumeCold` until it states
/// its state. One that never does is cold for the configured time.
class cold_limit {
 public:
  /// Sets the limit to `per_second` starts; 0 for no limit. An upstream that does not state its
  /// state is cold for `cold_time`.
  void Configure(double per_second, duration cold_time, time_point now);
  /// The state of the upstream is unknown until its next statement.
  void AssumeCold(time_point now);
  /// The upstream states that it is cold until `warm_at`, or warm if `warm_at` has passed.
  void OnStated(time_point warm_at, time_point now);

  /// True if the limit applies.
  bool IsCold(time_point now) const;
  /// Starts per second; 0 without a limit.
  double Rate(time_point now) const { return IsCold(now) ? spread_.rate() : 0; }
  /// `running` is the number of requests at the upstream, without long work.
  bool MayStart(std::size_t running, time_point now) const;
  void OnStart(time_point now);
  /// Time until the start that follows `ahead` others.
  duration Wait(std::size_t ahead, time_point now) const;

 private:
  /// Largest number of starts in any second that the spread allows.
  std::size_t MostInWindow() const;
  /// Starts within the last second.
  std::size_t InWindow(time_point now) const;
  /// After an event at which `was_cold` held before: restarts the spread, without credit, if
  /// the limit begins to apply.
  void UpdateSpread(bool was_cold, time_point now);

  double per_second_ = 0;
  duration cold_time_{};
  bool is_configured_ = false;
  bool is_assumed_ = true;
  time_point assumed_at_;
  /// The upstream has stated its state at least once.
  bool has_stated_ = false;
  time_point stated_at_;
  time_point warm_at_;
  rate_limit spread_;
  /// Starts of about the last second, oldest first.
  std::deque<time_point> starts_;
};

}  // namespace bronzeroute
