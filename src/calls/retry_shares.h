#pragma once

namespace bronzeroute {

/// Further attempts that an entry may send, as shares of the first attempts for a service.
struct retry_shares {
  /// Offers to another owner after one refused: no upstream has seen the call.
  double after_refusal = 0.2;
  /// Attempts after one that reached an upstream, whether it ran, was lost or was turned away.
  double after_arrival = 0.02;
};

}  // namespace bronzeroute
