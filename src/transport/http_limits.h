#pragma once

#include <cstddef>
#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Size and time limits for the clients of an HTTP server.
struct http_limits {
  /// Bytes of the request line and all fields. A larger head is rejected with 431.
  std::size_t head_bytes = std::size_t{64} * 1024;
  /// Bytes of a body; 0 for no limit. A larger body is rejected with 413.
  std::uint64_t body_bytes = 0;
  /// Time from the first byte of a head to its last. The connection of a slower client is
  /// closed.
  duration head_time = std::chrono::seconds(30);
  /// Time for which a connection may wait for its next request.
  duration idle_time = std::chrono::seconds(120);
};

}  // namespace bronzeroute
