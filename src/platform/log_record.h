#pragma once

#include <cstdint>
#include <string>

namespace bronzeroute {

/// One record of a stream of the platform's log.
struct log_record {
  std::int64_t offset = 0;
  /// Time since the append on the log's clock when the record was read, in milliseconds.
  std::int64_t age_ms = 0;
  std::string data;
};

}  // namespace bronzeroute
