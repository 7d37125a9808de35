#pragma once

#include <cstdint>

namespace bronzeroute {

/// State of the last try with a key, as stored at the home of the key.
enum class key_state : std::uint8_t {
  kRunning,
  kRan,
  kNotRun,
  /// The upstream was contacted and gave no response.
  kUnknown,
};

}  // namespace bronzeroute
