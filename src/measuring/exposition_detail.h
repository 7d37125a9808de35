#pragma once

#include <cstdint>

namespace bronzeroute {

/// How much of the service levels an exposition holds. With 43 services the counts per minute
/// take up to 1.8 MB, too much for a scraper that reads every few seconds.
enum class exposition_detail : std::uint8_t { kTotals, kMinutes };

}  // namespace bronzeroute
