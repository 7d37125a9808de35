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
  /// Key of the record; empty in a log without keys.
  std::string key{};
  /// The record says that there is no longer one with its key.
  bool is_removal = false;
};

}  // namespace bronzeroute
