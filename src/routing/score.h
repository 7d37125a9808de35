#pragma once

namespace bronzeroute {

/// Expected cost of sending a call to a candidate, in microseconds. Lower is better.
struct score {
  double round_trip = 0;
  double billed_bytes = 0;
  double wait = 0;
  double failures = 0;

  double Total() const { return round_trip + billed_bytes + wait + failures; }
};

}  // namespace bronzeroute
