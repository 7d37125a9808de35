#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bronzeroute::standin {

/// Requests that a worker stand-in ran. Tests check the responses to callers against it.
struct run_record {
  std::int64_t started = 0;
  std::int64_t finished = 0;
  std::int64_t body_bytes = 0;
  std::int64_t in_use = 0;
  /// The largest number of requests that ran at the same moment.
  std::int64_t max_in_use = 0;
  /// Runs by idempotency key.
  std::map<std::string, std::int64_t> by_key;
  /// Runs by the caller's X-Mark header, which also identifies requests without a key.
  std::map<std::string, std::int64_t> by_mark;
};

}  // namespace bronzeroute::standin
