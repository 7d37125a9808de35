#pragma once

#include <cstddef>

#include "src/base/time.h"

namespace bronzeroute {

/// The requests per second that the upstream takes, as it names them in its responses. Starts
/// are spread evenly, with a small burst; without a named limit they are free.
class rate_limit {
 public:
  /// A response named `per_second`, which is finite and not negative. Returns true if fewer
  /// starts are allowed than before.
  bool Name(double per_second, time_point now);
  /// A response to a request that was sent at `asked` named no limit. Ends the limit, unless it
  /// was named since then.
  void End(time_point asked);
  void Clear() { rate_ = 0; }

  bool IsSet() const { return rate_ > 0; }
  /// Starts per second; 0 without a limit. A named limit of 0 allows a few, since only a
  /// response can end it.
  double rate() const { return rate_; }
  /// Starts that may follow at once after a pause.
  double burst() const;
  bool MayStart(time_point now) const { return !IsSet() || CreditAt(now) >= 1; }
  void OnStart(time_point now);
  /// Time until the start that follows `ahead` others.
  duration Wait(std::size_t ahead, time_point now) const;

 private:
  double CreditAt(time_point now) const;

  double rate_ = 0;
  time_point named_at_;
  /// Starts allowed at `credit_at_`.
  double credit_ = 0;
  time_point credit_at_;
};

}  // namespace bronzeroute
