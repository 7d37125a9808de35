#pragma once

#include <cstddef>
#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// What a client of an HTTP server may send, and how long it may take.
struct http_limits {
  /// Bytes of the request line and all fields. A larger head is answered with 431.
  std::size_t head_bytes = std::size_t{64} * 1024;
  /// Bytes of a body; 0 for no limit. A larger body is answered with 413.
  std::uint64_t body_bytes = 0;
  /// Time from the first byte of a head to its last. A slower client is cut off.
  duration head_time = std::chrono::seconds(30);
  /// Time for which a connection may wait for its next request.
  duration idle_time = std::chrono::seconds(120);
};

}  // namespace bronzeroute
