#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzeroute {

/// What an upstream says about its own load. It is out of date when it arrives.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes at this moment in percent of the usual time; 100 if not told.
  std::uint32_t service_time_percent = 100;
};

/// Reads "running,waiting,slots" with an optional fourth figure for the pace. Nothing for any
/// other text.
std::optional<load_report> ParseLoadReport(std::string_view text);

}  // namespace bronzeroute
