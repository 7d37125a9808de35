#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/platform/log_record.h"

namespace bronzeroute {

/// What one read of a stream returned.
struct log_read {
  std::string stream;
  /// Oldest offset still kept.
  std::int64_t first = 0;
  /// Offset the next append will get.
  std::int64_t next = 0;
  std::int64_t retention_ms = 0;
  std::vector<log_record> records;
};

}  // namespace bronzeroute
