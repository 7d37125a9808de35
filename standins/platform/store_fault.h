#pragma once

namespace bronzeroute::standin {

/// What the store does to the calls of daemons. The operator's writes always succeed.
enum class store_fault {
  kNone,
  /// Every response comes late.
  kSlow,
  /// Every call gets 503.
  kBusy,
  /// Calls get no response, waiting reads included.
  kSilent,
  /// The connections that are open at the start of the fault never carry another response; new
  /// ones work.
  kSilentConnections,
  /// The store is away and comes back from an older copy of its content.
  kRestored,
  /// Appends take effect and get no response.
  kLostResponses,
};

}  // namespace bronzeroute::standin
