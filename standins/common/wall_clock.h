#pragma once

#include <chrono>
#include <cstdint>

namespace bronzeroute::standin {

/// Unix time in milliseconds.
inline std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace bronzeroute::standin
