#include "src/membership/upstream_history.h"

#include <chrono>
#include <cstddef>

#include "src/membership/upstream_announcement.h"
#include "src/membership/upstream_departure.h"

namespace bronzeroute {
namespace {

// Late announcements are seconds old; an earlier incarnation is kept for much longer.
constexpr auto kRetention = std::chrono::minutes(10);
// Incarnations kept, and departures kept; an upstream restarts a few times a day.
constexpr std::size_t kMaxIncarnations = 64;
// Number of incarnations, or of departures, at which all but the current incarnation are
// forgotten.
constexpr std::size_t kMaxRemembered = 4096;
// Announcements after which an incarnation counts as live although its start or the order of
// arrival says otherwise, since a clock may have been set back.
constexpr int kAnnouncementsOfLiveIncarnation = 3;

}  // namespace

bool upstream_history::Accept(const upstream_announcement& announcement, time_point now) {
  if (announcement.identity.empty()) return true;
  Forget(now);
  const key announced(announcement.identity, announcement.started_ms);
  const auto [found, is_first] = incarnations_.try_emplace(announced);
  incarnation& known = found->second;
  if (!is_first && announcement.sequence <= known.sequence) return false;
  known.sequence = announcement.sequence;
  known.last_announced = now;
  if (HasLeft(announcement.identity, announcement.started_ms)) return false;
  const bool is_next = !current_ || (is_first && !IsOutdated(announced));
  if (announced != current_ && !is_next && !IsPersistent(announced)) return false;
  current_ = announced;
  other_announcements_ = 0;
  return true;
}

void upstream_history::Retire(std::string_view identity, std::optional<std::int64_t> started_ms,
                              std::int64_t unix_ms, time_point now) {
  if (identity.empty()) return;
  const key* const latest = LatestOf(identity);
  const bool is_exact = started_ms || latest != nullptr;
  if (!started_ms) started_ms = latest != nullptr ? latest->second : unix_ms;
  Restore({.identity = std::string(identity), .started_ms = *started_ms, .is_exact = is_exact},
          now);
}

void upstream_history::Restore(const upstream_departure& departed, time_point now) {
  Forget(now);
  const auto [found, is_first] = departures_.try_emplace(departed.identity);
  departure& known = found->second;
  if (!is_first && known.started_ms > departed.started_ms) return;
  known = {.started_ms = departed.started_ms, .is_exact = departed.is_exact, .left = now};
}

std::optional<upstream_departure> upstream_history::DepartureOf(
    std::string_view identity) const {
  const auto found = departures_.find(std::string(identity));
  if (found == departures_.end()) return std::nullopt;
  return upstream_departure{.identity = found->first,
                            .started_ms = found->second.started_ms,
                            .is_exact = found->second.is_exact};
}

bool upstream_history::HasLeft(std::string_view identity, std::int64_t started_ms) const {
  const auto found = departures_.find(std::string(identity));
  if (found == departures_.end()) return false;
  const departure& known = found->second;
  return known.is_exact ? started_ms == known.started_ms : started_ms <= known.started_ms;
}

bool upstream_history::IsRetired(std::string_view identity) const {
  const key* const latest = LatestOf(identity);
  if (latest == nullptr) return departures_.contains(std::string(identity));
  return *latest != current_ || HasLeft(latest->first, latest->second);
}

void upstream_history::ClearCurrent() {
  current_.reset();
  other_announcements_ = 0;
}

bool upstream_history::IsOutdated(const key& other) const {
  return other.second < current_->second;
}

bool upstream_history::IsPersistent(const key& other) {
  if (last_other_ != other) other_announcements_ = 0;
  last_other_ = other;
  return ++other_announcements_ >= kAnnouncementsOfLiveIncarnation;
}

const upstream_history::key* upstream_history::LatestOf(std::string_view identity) const {
  const key* latest = nullptr;
  for (const auto& [known, row] : incarnations_) {
    if (known.first == identity && (latest == nullptr || known.second > latest->second)) {
      latest = &known;
    }
  }
  return latest;
}

void upstream_history::Forget(time_point now) {
  if (incarnations_.size() >= kMaxIncarnations) {
    absl::erase_if(incarnations_, [&](const auto& entry) {
      return entry.first != current_ && entry.second.last_announced + kRetention < now;
    });
  }
  if (departures_.size() >= kMaxIncarnations) {
    absl::erase_if(departures_,
                   [&](const auto& entry) { return entry.second.left + kRetention < now; });
  }
  // Another writer may invent identities at any rate.
  if (incarnations_.size() >= kMaxRemembered || departures_.size() >= kMaxRemembered) {
    absl::erase_if(incarnations_, [&](const auto& entry) { return entry.first != current_; });
    departures_.clear();
  }
}

}  // namespace bronzeroute
