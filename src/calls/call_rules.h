#pragma once

#include "src/base/time.h"

namespace bronzeroute {

/// The rules that ensure the guarantees to callers. Tests replace one rule at a time to show
/// that the test oracle detects its absence.
struct call_rules {
  /// Entry: a call whose attempt was lost after it was sent may be sent again.
  static constexpr bool MayRepeatAfterLoss(bool is_protected) { return !is_protected; }
  /// Entry: a call may be reported as not run only if no attempt may have run.
  static constexpr bool MayReportNotRun(bool may_have_run) { return !may_have_run; }
  /// Entry: if the body of a response was truncated, the response to the caller is aborted.
  static constexpr bool AbortsPartialResponse() { return true; }
  /// Owner: an attempt whose identity is recorded already is refused.
  static constexpr bool IsDuplicate(bool on_record) { return on_record; }
  /// Owner: work past its deadline is not sent to the upstream.
  static constexpr bool IsLate(time_point deadline, time_point now) { return deadline <= now; }
  /// Owner: the key table decides whether a try with a key may run.
  static constexpr bool ChecksKeyRow() { return true; }
  /// Owner: work is sent to the upstream only if the owner's configuration allows its region.
  static constexpr bool ChecksRegions() { return true; }
};

}  // namespace bronzeroute
