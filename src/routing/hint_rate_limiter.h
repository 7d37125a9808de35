#pragma once

#include <chrono>
#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

struct load_hint;

/// Decides at the owner which messages to an entry carry a hint, to keep down the bytes spent
/// on measuring. A message without a hint carries sequence 0, which hint tables ignore.
class hint_rate_limiter {
 public:
  /// Hints to one entry are at least this far apart. In policy_bench this saves two bytes in
  /// three and costs some 0.8 ms of p99; at 20 ms long uploads raise the short p99 by over a
  /// tenth.
  static constexpr duration kInterval = std::chrono::milliseconds(10);

  /// True if a message to `entry` is to carry `hint`. Refusals always do, since the entry chose
  /// by a wrong hint, and so do changes of the failing and draining flags.
  bool IsDue(member_id entry, const load_hint& hint, bool is_refusal, time_point now);

 private:
  struct sent_row {
    time_point next_due;
    bool failing = false;
    bool draining = false;
  };

  /// Far above the members of an environment; entries that are gone leave rows behind.
  static constexpr std::size_t kMaxRows = 4096;

  absl::flat_hash_map<member_id, sent_row> sent_;
};

}  // namespace bronzeroute
