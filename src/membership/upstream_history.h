#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"

namespace bronzeroute {

struct upstream_announcement;

/// Tells announcements of the upstream beside this daemon from late ones: of an earlier run,
/// out of order, or of a run that has left.
class upstream_history {
 public:
  /// True if `announcement` is news about the current run, or the first of a later run.
  bool Accept(const upstream_announcement& announcement, time_point now);
  /// The run has left; nothing it announced before counts any more.
  void Retire(std::string_view identity, time_point now);
  /// True if `identity` has left or was followed by another run.
  bool IsRetired(std::string_view identity) const;

 private:
  struct incarnation {
    std::int64_t started_ms = 0;
    std::uint64_t sequence = 0;
    bool is_retired = false;
    /// Announcements in order of a run that was taken for an earlier one.
    int contradicted = 0;
    time_point last_heard;
  };

  void Forget(time_point now);

  std::string current_;
  absl::flat_hash_map<std::string, incarnation> incarnations_;
};

}  // namespace bronzeroute
