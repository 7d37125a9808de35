#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"

namespace bronzeroute {

struct upstream_announcement;

/// Filters announcements of the upstream beside this daemon: rejects those of an earlier
/// incarnation, those out of order, and those of an incarnation that has left.
class upstream_history {
 public:
  /// True if `announcement` is a newer one of the current incarnation, or the first of a later
  /// incarnation.
  bool Accept(const upstream_announcement& announcement, time_point now);
  /// Marks the incarnation as left; its earlier announcements are ignored from now on.
  void Retire(std::string_view identity, time_point now);
  /// True if `identity` has left or was followed by another incarnation.
  bool IsRetired(std::string_view identity) const;

 private:
  struct incarnation {
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    bool is_retired = false;
    /// Consecutive announcements that were rejected as those of an earlier incarnation.
    int contradicted = 0;
    time_point last_announced;
  };

  void Forget(time_point now);

  std::string current_;
  absl::flat_hash_map<std::string, incarnation> incarnations_;
};

}  // namespace bronzeroute
