#pragma once

#include <cstdint>

namespace bronzeroute {

/// Level of detail of an exposition. With 43 services the counts per minute take up to 1.8 MB,
/// which is too much for a scraper with an interval of a few seconds.
enum class exposition_detail : std::uint8_t { kTotals, kMinutes };

}  // namespace bronzeroute
