#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeroute::standin {

/// Outcomes of the calls of one class.
struct class_result {
  std::int64_t sent = 0;
  std::int64_t open = 0;
  std::int64_t wrong_answers = 0;
  /// Latencies of calls with a 2xx response, in microseconds.
  std::vector<std::int64_t> latencies_us;
  /// Calls by outcome: "ok", "<kind>/<execution>", "http <status>" or "no answer".
  std::map<std::string, std::int64_t> outcomes;

  /// Latency that `share` of the calls with a 2xx response do not exceed; 0 if there are none.
  std::int64_t Percentile(double share) const;
};

}  // namespace bronzeroute::standin
