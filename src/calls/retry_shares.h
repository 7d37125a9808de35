#pragma once

namespace bronzeroute {

/// Limits of the further attempts that an entry may send, as shares of the first attempts for
/// the service.
struct retry_shares {
  /// Attempts after an owner refused the call, so that no upstream has received it.
  double after_refusal = 0.2;
  /// Attempts after one that may have reached an upstream: it was lost, or the upstream refused
  /// it.
  double after_arrival = 0.02;
};

}  // namespace bronzeroute
