#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeroute::standin {

/// Settings of the load tool. Rates are calls per second, summed over all targets.
struct load_options {
  std::vector<std::string> targets;
  std::string short_path;
  std::string protected_path;
  std::string long_path;
  double short_rate = 100;
  double protected_rate = 0;
  double long_rate = 0;
  std::int64_t duration_s = 10;
  std::int64_t short_bytes = 0;
  std::int64_t long_bytes = 2'000'000;
  std::int64_t deadline_ms = 2'000;
  /// Source of idempotency keys: "issued" requests each key from a daemon, "own" generates
  /// keys, "none" sends calls without a key.
  std::string keys = "own";
  std::uint64_t seed = 1;
  bool json = false;
};

}  // namespace bronzeroute::standin
