#pragma once

#include <cstdint>

namespace bronzeroute {

enum class configuration_event_kind : std::uint8_t {
  /// A peer has a version above the one in effect and above all that were reported before.
  kNewerVersionReported,
  /// A peer did not supply the version that it had reported.
  kFetchFailed,
};

}  // namespace bronzeroute
