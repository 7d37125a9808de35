#pragma once

#include <cstdint>

namespace bronzeroute {

/// State of a member as this process sees it. Numbers travel between processes.
enum class member_state : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

}  // namespace bronzeroute
