#pragma once

#include <chrono>
#include <cstdint>

#include "src/base/time.h"
#include "src/routing/ejection_state.h"

namespace bronzeroute {

/// Ejects an upstream after failures in a row and lets it return through trial calls. Owners
/// use it for their own upstream, entries for the members they send attempts to.
class ejection {
 public:
  static constexpr std::uint32_t kFailuresToEject = 5;
  static constexpr duration kFirstEjection = std::chrono::seconds(1);
  static constexpr duration kLongestEjection = std::chrono::seconds(30);
  /// Time for which a due trial waits for a call that may be repeated. The caller of a
  /// protected call whose trial fails does not learn whether it ran, but without any trial an
  /// upstream that gets only protected calls would never return.
  static constexpr duration kProtectedTrialDelay = std::chrono::seconds(1);

  ejection_state At(time_point now) const;
  /// True if a call may be the trial now.
  bool MayTry(bool is_protected, time_point now) const {
    return At(now) == ejection_state::kTrialDue &&
           (!is_protected || now >= until_ + kProtectedTrialDelay);
  }
  std::uint32_t failures_in_row() const { return failures_in_row_; }
  /// End of the current ejection; meaningless while clear.
  time_point until() const { return until_; }

  /// Counts a failure of an ordinary call. Ejects after kFailuresToEject in a row if
  /// `may_eject`; otherwise the count stays, and a later failure may eject. Returns true on a
  /// new ejection.
  bool OnFailure(bool may_eject, time_point now);
  /// Counts a success of an ordinary call. Does not end an ejection: the call may have started
  /// before it.
  void OnSuccess();
  /// Ejects now, whatever the count.
  void Eject(time_point now);
  /// Ends an ejection and clears the failure count. An open trial call stays recorded, so that
  /// no second one is sent beside it after the next ejection.
  void Clear();

  void BeginTrial() { trial_open_ = true; }
  void OnTrialSucceeded();
  /// Ejects again, for twice as long, unless the ejection has ended for another reason.
  void OnTrialFailed(time_point now);
  /// The trial call ended without a result that counts, for example because it was cancelled.
  void OnTrialAbandoned() { trial_open_ = false; }

 private:
  std::uint32_t failures_in_row_ = 0;
  bool ejected_ = false;
  bool trial_open_ = false;
  time_point until_;
  duration next_length_ = kFirstEjection;
};

}  // namespace bronzeroute
