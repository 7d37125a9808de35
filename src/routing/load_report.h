#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzeroute {

/// Load that an upstream reports of itself; already out of date when it is received.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes at this moment in percent of the usual time; 100 if not reported.
  std::uint32_t service_time_percent = 100;
};

/// Reads "running,waiting,slots" with the service-time percent as an optional fourth number.
/// Nothing for any other text.
std::optional<load_report> ParseLoadReport(std::string_view text);

}  // namespace bronzeroute
