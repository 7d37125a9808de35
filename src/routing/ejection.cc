#include "src/routing/ejection.h"

#include <algorithm>

namespace bronzeroute {

ejection_state ejection::At(time_point now) const {
  if (!ejected_) return ejection_state::kClear;
  if (trial_open_) return ejection_state::kTrialOpen;
  return now < until_ ? ejection_state::kEjected : ejection_state::kTrialDue;
}

bool ejection::OnFailure(bool may_eject, time_point now) {
  if (ejected_) return false;
  ++failures_in_row_;
  if (!may_eject || failures_in_row_ < kFailuresToEject) return false;
  Eject(now);
  return true;
}

void ejection::OnSuccess() {
  if (!ejected_) failures_in_row_ = 0;
}

void ejection::Eject(time_point now) {
  ejected_ = true;
  until_ = now + next_length_;
  next_length_ = std::min(next_length_ * 2, kLongestEjection);
}

void ejection::Clear() {
  ejected_ = false;
  failures_in_row_ = 0;
  next_length_ = kFirstEjection;
}

void ejection::OnTrialSucceeded() {
  Clear();
  trial_open_ = false;
}

void ejection::OnTrialFailed(time_point now) {
  trial_open_ = false;
  if (ejected_) Eject(now);
}

}  // namespace bronzeroute
