#pragma once

#include <cstdint>

namespace bronzeroute {

/// Exit codes of `brctl`; `brctl --help` lists them.
enum class exit_code : std::uint8_t {
  kOk = 0,
  kInvalidDocument = 1,
  kUsage = 2,
  /// Refused without any change: stale base, unexpected digest, no document to promote, or a
  /// daemon that refused the command.
  kRefused = 3,
  /// The log or a daemon did not respond; nothing was changed.
  kUnavailable = 4,
  /// A publication may or may not have taken effect.
  kUnknown = 5,
};

}  // namespace bronzeroute
