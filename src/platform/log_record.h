#pragma once

#include <cstdint>
#include <string>

namespace bronzeroute {

/// One record in a stream of the platform's log.
struct log_record {
  std::int64_t offset = 0;
  /// Time from the append to the read by the log's clock, in milliseconds.
  std::int64_t age_ms = 0;
  std::string data;
};

}  // namespace bronzeroute
