#pragma once

#include "src/base/time.h"

namespace bronzeroute {

/// The rules on which the promises to callers rest. Tests replace one rule at a time to show
/// that the oracle notices its absence.
struct call_rules {
  /// Entry: a call whose attempt was lost after it was sent may be sent again.
  static constexpr bool MayRepeatAfterLoss(bool is_protected) { return !is_protected; }
  /// Entry: a refusal may be reported as not run only if no attempt may have run.
  static constexpr bool MayReportNotRun(bool may_have_run) { return !may_have_run; }
  /// Entry: a response whose body ended early is cut towards the caller.
  static constexpr bool AbortsPartialResponse() { return true; }
  /// Owner: an attempt whose identity is on record is refused.
  static constexpr bool IsDuplicate(bool on_record) { return on_record; }
  /// Owner: work past its deadline is not handed to the upstream.
  static constexpr bool IsLate(time_point deadline, time_point now) { return deadline <= now; }
  /// Owner: a key row decides whether a try with this key may run.
  static constexpr bool ObeysKeyRow() { return true; }
};

}  // namespace bronzeroute
