#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/strong_id.h"
#include "src/membership/member_row.h"
#include "src/membership/member_track.h"
#include "src/membership/member_update.h"
#include "src/membership/merge_result.h"

namespace bronzeroute {

/// Member rows with their order of precedence. Row 0 is the own daemon and is never merged.
///
/// A higher incarnation replaces a lower one. Within an incarnation, left is final; then the
/// higher refutation counter wins, and at the same counter suspect wins over alive. Each
/// process declares a member dead by itself, after a suspicion that was not refuted; a received
/// record with state dead counts as suspect.
class member_table {
 public:
  static constexpr std::size_t kBuckets = 16;

  member_table(member_row self, std::uint32_t details_version);

  std::span<const member_row> rows() const { return rows_; }
  const member_row* Find(member_id id) const;
  /// Index of the row of `id`, or -1.
  std::ptrdiff_t IndexOf(member_id id) const;

  const member_row& row(std::size_t index) const { return rows_[index]; }
  const member_track& track(std::size_t index) const { return tracks_[index]; }
  member_track& track(std::size_t index) { return tracks_[index]; }
  /// A row for changes; call Refresh afterwards if they touch incarnation,
  /// refutation, state or draining.
  member_row& Mutable(std::size_t index) { return rows_[index]; }
  /// Renews the digest and the live count after a change of the row.
  void Refresh(std::size_t index);

  merge_result Merge(const member_update& update);
  /// Removes a row; the last row takes its index.
  void Erase(std::size_t index);

  /// The row as an update for peers.
  member_update Update(std::size_t index, bool with_details) const;

  std::span<const std::uint32_t, kBuckets> digests() const { return digests_; }
  static std::size_t BucketOf(member_id id);
  /// Members alive or suspect, the own one included.
  std::size_t live() const { return live_; }
  std::size_t size() const { return rows_.size(); }

 private:
  merge_result MergeSameIncarnation(std::size_t index, const member_update& update);

  std::vector<member_row> rows_;
  std::vector<member_track> tracks_;
  absl::flat_hash_map<member_id, std::uint32_t> index_;
  std::array<std::uint32_t, kBuckets> digests_{};
  std::size_t live_ = 0;
};

/// True for alive and suspect members.
constexpr bool IsLive(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

}  // namespace bronzeroute
