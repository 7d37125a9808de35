#include "src/membership/member_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bronzeroute {
namespace {

std::uint32_t DigestOf(const member_row& row, std::uint32_t details_version) {
  const std::array<std::uint64_t, 4> fields = {
      row.id.value, row.incarnation.value, row.refutation,
      (std::uint64_t{details_version} << 1) | (row.draining ? 1 : 0)};
  // 0 is kept for rows that do not count.
  return static_cast<std::uint32_t>(XXH3_64bits(fields.data(), sizeof(fields))) | 1;
}

void TakeDetails(member_row& row, const member_row& from) {
  row.service = from.service;
  row.region = from.region;
  row.availability_zone = from.availability_zone;
  row.peer_address = from.peer_address;
  row.membership_address = from.membership_address;
  row.callers_address = from.callers_address;
  row.admin_address = from.admin_address;
  // Kept across restarts of the member: a new incarnation may not have learned of them yet.
  for (const upstream_departure& each : from.departures) AddDeparture(row.departures, each);
}

}  // namespace

member_table::member_table(member_row self, std::uint32_t details_version) {
  index_.emplace(self.id, 0);
  rows_.push_back(std::move(self));
  tracks_.emplace_back().details_version = details_version;
  Refresh(0);
}

const member_row* member_table::Find(member_id id) const {
  const std::ptrdiff_t index = IndexOf(id);
  return index < 0 ? nullptr : &rows_[static_cast<std::size_t>(index)];
}

std::ptrdiff_t member_table::IndexOf(member_id id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? -1 : static_cast<std::ptrdiff_t>(found->second);
}

std::size_t member_table::BucketOf(member_id id) { return id.value % kBuckets; }

void member_table::Refresh(std::size_t index) {
  const member_row& row = rows_[index];
  member_track& track = tracks_[index];
  std::uint32_t& bucket = digests_[BucketOf(row.id)];
  if (track.digest != 0) {
    bucket ^= track.digest;
    --live_;
  }
  track.digest = IsLive(row.state) ? DigestOf(row, track.details_version) : 0;
  if (track.digest != 0) {
    bucket ^= track.digest;
    ++live_;
  }
}

merge_result member_table::Merge(const member_update& update) {
  merge_result result;
  const std::ptrdiff_t found = IndexOf(update.row.id);
  if (found == 0) return result;
  if (found < 0) {
    if (!update.has_details || update.row.state == member_state::kDead) {
      result.needs_details = IsLive(update.row.state);
      return result;
    }
    index_.emplace(update.row.id, static_cast<std::uint32_t>(rows_.size()));
    rows_.push_back(update.row);
    tracks_.emplace_back().details_version = update.details_version;
    Refresh(rows_.size() - 1);
    result.added = true;
    return result;
  }
  const auto index = static_cast<std::size_t>(found);
  member_row& row = rows_[index];
  if (update.row.incarnation.value < row.incarnation.value) {
    result.earlier_incarnation = true;
    return result;
  }
  if (update.row.incarnation == row.incarnation) return MergeSameIncarnation(index, update);
  if (!update.has_details && update.row.state != member_state::kLeft) {
    result.needs_details = IsLive(update.row.state);
    return result;
  }
  if (update.has_details) {
    TakeDetails(row, update.row);
    tracks_[index].details_version = update.details_version;
  }
  row.incarnation = update.row.incarnation;
  row.refutation = update.row.refutation;
  row.state =
      update.row.state == member_state::kDead ? member_state::kSuspect : update.row.state;
  row.draining = update.row.draining;
  row.config_version = -1;
  row.hint = load_hint();
  row.hint_received = time_point();
  tracks_[index].unconfirmed = false;
  tracks_[index].reported_alive = false;
  Refresh(index);
  result.new_incarnation = true;
  return result;
}

merge_result member_table::MergeSameIncarnation(std::size_t index,
                                                const member_update& update) {
  merge_result result;
  member_row& row = rows_[index];
  member_track& track = tracks_[index];
  if (row.state == member_state::kLeft) return result;
  if (update.details_version > track.details_version) {
    if (update.has_details) {
      TakeDetails(row, update.row);
      track.details_version = update.details_version;
      result.details_changed = true;
    } else {
      result.needs_details = true;
    }
  }
  if (update.row.draining && !row.draining) {
    row.draining = true;
    result.draining_changed = true;
  }
  const std::uint64_t theirs = update.row.refutation;
  if (theirs > row.refutation && row.draining && !update.row.draining) {
    // Only the member itself raises its counter: a new incarnation of its upstream has replaced
    // the one that left.
    row.draining = false;
    result.draining_changed = true;
  }
  member_state state = row.state;
  switch (update.row.state) {
    case member_state::kLeft:
      state = member_state::kLeft;
      break;
    case member_state::kDead:
      // Dead as declared by another process counts as a suspicion: after a partition heals,
      // records of one side must not remove healthy members on the other.
    case member_state::kSuspect:
      if (theirs > row.refutation ||
          (theirs == row.refutation && row.state == member_state::kAlive)) {
        state = member_state::kSuspect;
      }
      break;
    case member_state::kAlive:
      if (theirs > row.refutation) {
        state = member_state::kAlive;
      } else if (row.state == member_state::kDead) {
        result.contradicts_dead = true;
      }
      break;
  }
  result.refutation_changed = theirs > row.refutation;
  row.refutation = std::max(row.refutation, theirs);
  result.state_changed = state != row.state;
  row.state = state;
  if (result.changed()) Refresh(index);
  return result;
}

void member_table::Erase(std::size_t index) {
  rows_[index].state = member_state::kDead;
  Refresh(index);
  index_.erase(rows_[index].id);
  const std::size_t last = rows_.size() - 1;
  if (index != last) {
    rows_[index] = std::move(rows_[last]);
    tracks_[index] = tracks_[last];
    index_[rows_[index].id] = static_cast<std::uint32_t>(index);
  }
  rows_.pop_back();
  tracks_.pop_back();
}

member_update member_table::Update(std::size_t index, bool with_details) const {
  const member_row& row = rows_[index];
  member_update update;
  update.row.id = row.id;
  update.row.incarnation = row.incarnation;
  update.row.refutation = row.refutation;
  update.row.state = row.state;
  update.row.draining = row.draining;
  update.details_version = tracks_[index].details_version;
  update.has_details = with_details;
  if (with_details) TakeDetails(update.row, row);
  return update;
}

}  // namespace bronzeroute
