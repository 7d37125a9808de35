#pragma once

#include <cstdint>

namespace bronzeroute {

/// How far an upstream is from this process.
enum class distance : std::uint8_t { kSameInstance, kSameZone, kSameRegion, kOtherRegion };

}  // namespace bronzeroute
