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
  /// `records` are the newest record of each key rather than those from an offset on.
  bool is_newest_of_each = false;
  /// The log came back from an older copy since the previous read: records that it had
  /// confirmed may be gone, and their offsets are given out again.
  bool is_restored = false;
  /// Rises each time the log comes back from an older copy, if it tells; otherwise 0.
  std::int64_t era = 0;
};

}  // namespace bronzeroute
