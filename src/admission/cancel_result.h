#pragma once

#include <cstdint>

namespace bronzeroute {

/// State of an exchange when it was cancelled.
enum class cancel_result : std::uint8_t {
  /// Neither queued nor running.
  kUnknown,
  /// Was queued and has been removed; it was not run.
  kRemovedFromQueue,
  /// Is running, and holds its slot until OnUpstreamEnded.
  kRunning,
};

}  // namespace bronzeroute
