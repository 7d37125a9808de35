#pragma once

#include <cstdint>

namespace bronzeroute {

/// Whether an upstream may receive work, according to its recent failures.
enum class ejection_state : std::uint8_t {
  kClear,
  /// No work until the ejection ends.
  kEjected,
  /// One call may be sent as a trial; see `ejection::MayTry`.
  kTrialDue,
  /// A trial call is open; no other work.
  kTrialOpen,
};

}  // namespace bronzeroute
