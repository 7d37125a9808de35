#pragma once

#include <cstdint>

namespace bronzeroute {

/// How an attempt ended, as far as it speaks about the member it was sent to.
enum class attempt_end : std::uint8_t {
  kCompleted,
  /// The upstream answered with an error of its own, which may come from a service that it
  /// calls: it is avoided, but not ejected.
  kErrorResponse,
  /// Connect failed, link cut, response missing, late or cut, or an error of the upstream.
  kFailed,
  /// Refused by the owner for load, deadline or drain; says nothing about health.
  kRefused,
  /// Refused because the owner has ejected its upstream.
  kRefusedEjected,
  kCancelled,
};

}  // namespace bronzeroute
