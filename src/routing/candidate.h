#pragma once

#include <cstdint>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/routing/distance.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

/// An upstream that a call may be sent to, with the state of it that the entry has received.
struct candidate {
  member_id id;
  incarnation_id incarnation;
  distance where = distance::kSameZone;
  /// Identifies the availability zone of the member within this process.
  std::uint32_t zone = 0;
  load_hint hint;
  time_point hint_received;
  /// Attempts this process has sent there since the hint, and all it has open there.
  std::uint32_t sent_since_hint = 0;
  std::uint32_t open_attempts = 0;
  /// Mean of load_hint::service_time_us over the hints of about the last quarter second.
  double service_time_us = 0;
  /// When the member last had work, or was sent some, as far as this process knows.
  time_point worked_at;
  /// Weighted share of recent attempts that failed, 0 to 1.
  double failure_share = 0;
};

}  // namespace bronzeroute
