#pragma once

#include <cstdint>

namespace bronzeroute {

/// Where a cancelled exchange was.
enum class cancel_result : std::uint8_t {
  /// Neither queued nor running here.
  kUnknown,
  /// Was queued and is removed; it has not run and will not.
  kRemovedFromQueue,
  /// Holds its slot until the end is reported with OnUpstreamEnded.
  kRunning,
};

}  // namespace bronzeroute
