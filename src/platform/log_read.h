#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/platform/log_record.h"

namespace bronzeroute {

/// Result of one read of a stream.
struct log_read {
  std::string stream;
  /// Offset of the oldest record that has not expired.
  std::int64_t first = 0;
  /// Offset the next append will get.
  std::int64_t next = 0;
  /// Time after which the log deletes records.
  std::int64_t retention_ms = 0;
  std::vector<log_record> records;
};

}  // namespace bronzeroute
