#pragma once

#include <chrono>
#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

struct load_hint;

/// Decides at the owner which messages to an entry carry a hint, to limit the bytes that count
/// against the measuring budget. A message without a hint carries sequence 0, which hint tables
/// ignore.
class hint_rate_limiter {
 public:
  /// Hints to one entry are at least this far apart. In policy_bench this saves
  /// two thirds of the bytes and adds about 0.8 ms to the p99 latency; with 20 ms, long uploads
  /// raise the p99 latency of short work by over a tenth.
  static constexpr duration kInterval = std::chrono::milliseconds(10);

  /// True if a message to `entry` is to carry `hint`. Refusals always do, since the entry
  /// chose on an outdated hint, and so do changes of the failing and draining flags.
  bool IsDue(member_id entry, const load_hint& hint, bool is_refusal, time_point now);

 private:
  struct sent_row {
    time_point next_due;
    bool failing = false;
    bool draining = false;
  };

  /// Far above the members of an environment; rows of entries that left are not
  /// removed one by one.
  static constexpr std::size_t kMaxRows = 4096;

  absl::flat_hash_map<member_id, sent_row> sent_;
};

}  // namespace bronzeroute
