#include "src/membership/upstream_history.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "src/membership/upstream_announcement.h"

namespace bronzeroute {
namespace {

// Late announcements are seconds old; an earlier incarnation is kept for much longer.
constexpr auto kRetention = std::chrono::minutes(10);
// Incarnations kept; an upstream restarts a few times a day.
constexpr std::size_t kMaxIncarnations = 64;
// An incarnation whose clock went back looks like an earlier one. Late announcements come one
// by one, those of a live incarnation go on.
constexpr int kAnnouncementsOfLiveIncarnation = 3;

}  // namespace

bool upstream_history::Accept(const upstream_announcement& announcement, time_point now) {
  if (announcement.identity.empty()) return true;
  Forget(now);
  const auto found = incarnations_.find(announcement.identity);
  if (found == incarnations_.end()) {
    const auto before = incarnations_.find(current_);
    if (before != incarnations_.end()) before->second.is_retired = true;
    current_ = announcement.identity;
    incarnations_[current_] = {.started_ms = announcement.started_ms,
                               .sequence = announcement.sequence,
                               .last_announced = now};
    return true;
  }
  incarnation& known = found->second;
  const bool same_start = known.started_ms == announcement.started_ms;
  if (same_start && announcement.sequence <= known.sequence) return false;
  if (same_start && !known.is_retired) {
    known.sequence = announcement.sequence;
    known.last_announced = now;
    known.contradicted = 0;
    return announcement.identity == current_;
  }
  const bool is_later_start = !same_start && announcement.started_ms > known.started_ms;
  if (!is_later_start) {
    if (same_start) known.sequence = announcement.sequence;
    if (++known.contradicted < kAnnouncementsOfLiveIncarnation) return false;
    // An incarnation that left announces itself only until its process ends.
    if (same_start) return false;
  }
  const auto before = incarnations_.find(current_);
  if (before != incarnations_.end() && current_ != announcement.identity) {
    before->second.is_retired = true;
  }
  current_ = announcement.identity;
  known = {.started_ms = announcement.started_ms,
           .sequence = announcement.sequence,
           .last_announced = now};
  return true;
}

void upstream_history::Retire(std::string_view identity, time_point now) {
  if (identity.empty()) return;
  incarnation& known = incarnations_[std::string(identity)];
  known.is_retired = true;
  known.last_announced = now;
}

bool upstream_history::IsRetired(std::string_view identity) const {
  const auto found = incarnations_.find(std::string(identity));
  return found != incarnations_.end() && found->second.is_retired;
}

void upstream_history::Forget(time_point now) {
  if (incarnations_.size() < kMaxIncarnations) return;
  absl::erase_if(incarnations_, [&](const auto& entry) {
    return entry.first != current_ && entry.second.last_announced + kRetention < now;
  });
}

}  // namespace bronzeroute
