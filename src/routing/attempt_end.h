#pragma once

#include <cstdint>

namespace bronzeroute {

/// How an attempt ended, as far as it shows the health of the member that it was sent to.
enum class attempt_end : std::uint8_t {
  kCompleted,
  /// The upstream sent an error response, which may be caused by a service that it calls: the
  /// member's score gets worse, but it is not ejected.
  kErrorResponse,
  /// Connecting failed, the connection broke, the response was missing, late or truncated, or
  /// it was an error response of an upstream that is ejected on those.
  kFailed,
  /// Refused by the owner for load, deadline or drain; does not count against its health.
  kRefused,
  /// Refused because the owner has ejected its upstream.
  kRefusedEjected,
  kCancelled,
};

}  // namespace bronzeroute
