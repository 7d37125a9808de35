#pragma once

#include <cstdint>

namespace bronzeroute {

/// What the home knows about the tries with a key.
enum class key_state : std::uint8_t {
  kRunning,
  kRan,
  kNotRun,
  /// The upstream was contacted and gave no response.
  kUnknown,
};

}  // namespace bronzeroute
