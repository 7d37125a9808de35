#include "src/configuration/configuration_system.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>

#include "src/configuration/configuration_record.h"
#include "src/configuration/parse_document.h"
#include "src/configuration/parse_result.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kFirstRetry = milliseconds(250);
// With this retry interval, 540 daemons send 135 reads/s to a log that recovers from an outage.
constexpr duration kMaxRetry = seconds(4);
// Shortest time after which a daemon renews its waiting read. Half of the time in which a
// version has to take effect is left for spreading it.
constexpr duration kMinRenewal = seconds(1);
// Delay before a read is renewed because a peer has a higher version. An intact read usually
// delivers the version within this time. The delay is part of each step in which a version
// spreads over daemons whose reads are silent.
constexpr duration kRenewalGrace = milliseconds(100);
constexpr duration kRenewalSpread = milliseconds(100);
// A record that comes within this time after the renewal of a read was in the log before.
constexpr duration kMissedTime = milliseconds(500);
// Limits the read rate on a log that returns at once when there are no new records.
constexpr duration kEmptyReadInterval = milliseconds(100);
// Delay between the daemons of successive ranks that append a snapshot. An append reaches the
// other daemons in less time, so they read the snapshot and do not append their own.
constexpr duration kMaxRankStep = seconds(2);
// All snapshots have the same key: a log that keeps only the newest record of each key then
// stores a single snapshot.
constexpr std::string_view kSnapshotKey = "snapshot";
constexpr duration kAppendDeadline = seconds(10);
constexpr duration kAppendRetry = seconds(5);
// Distinguishes the append tokens of this class from those of other users of the log port.
constexpr std::uint64_t kTokenTag = std::uint64_t{0xC0} << 56;

}  // namespace

configuration_system::configuration_system(configuration_settings settings, log_port& log,
                                           configuration_peer_port& peers)
    : settings_(std::move(settings)),
      stream_(ConfigurationStream(settings_.environment)),
      log_(log),
      random_(settings_.seed),
      fold_(settings_.environment),
      fetcher_(peers, settings_.seed + 1),
      append_token_(kTokenTag) {}

void configuration_system::OnLogRead(const log_read& read, time_point now) {
  if (read.stream != stream_) return;
  read_open_ = false;
  read_failures_ = 0;
  has_read_ = true;
  next_read_ = now + (read.records.empty() ? kEmptyReadInterval : settings_.read_pause);
  if (settings_.form == configuration_form::kVersionedDocuments) {
    if (!read.records.empty()) {
      turns_began_ = now;
      renewal_turn_.reset();
    }
    AdoptDocuments(read, now);
    fetcher_.Drop(settled_version());
    return;
  }
  retention_ = milliseconds(read.retention_ms);
  log_behind_ = read.next < fold_.position();
  std::ranges::move(fold_.Fold(read), std::back_inserter(folded_records_));
  if (fold_.anchored() || fold_.position() < read.next) {
    unanchored_since_.reset();
  } else if (!unanchored_since_) {
    unanchored_since_ = now;
  }
  TrackAppendTimes(read, now);
  AdoptHead();
}

void configuration_system::OnLogFailed(std::string_view stream, time_point now) {
  if (stream == stream_) FailRead(now);
}

void configuration_system::OnAppendResult(std::uint64_t token, bool /*succeeded*/,
                                          time_point now) {
  if (token != append_token_ || !append_open_) return;
  append_open_ = false;
  // Whether the append took effect is read from the stream, since a failed append may have been
  // stored. Another snapshot is appended only if this one does not appear there.
  snapshot_at_ = now + kAppendRetry + Jitter(duration(0), kAppendRetry);
}

void configuration_system::OnPeerVersion(member_id peer, std::int64_t version, time_point now) {
  if (version <= settled_version()) return;
  if (!fetcher_.OnPeerVersion(peer, version, read_failures_ > 0, now)) return;
  reported_at_ = now;
  renew_for_peer_at_ =
      std::min(renew_for_peer_at_, now + kRenewalGrace + Jitter(duration(0), kRenewalSpread));
}

void configuration_system::OnSnapshot(member_id peer, std::string_view record, time_point now) {
  std::optional<configuration_snapshot> snapshot =
      DecodeSnapshot(record, settings_.environment, settings_.read_document);
  if (!snapshot) {
    OnSnapshotFailed(peer, now);
    return;
  }
  fetcher_.OnResponse(peer, now);
  if (settings_.form == configuration_form::kVersionedDocuments) {
    if (snapshot->version > in_effect_.version && snapshot->parsed != nullptr) {
      in_effect_ = *std::move(snapshot);
      from_peer_ = true;
    }
  } else if (snapshot->version > in_effect_.version) {
    const bool restored = snapshot->parsed != nullptr && fold_.Restore(*snapshot);
    if (restored) {
      restored_at_ = now;
      ranked_anchor_ = kNotRanked;
      appended_.clear();
    }
    // An anchored fold that has read past this version without accepting it is authoritative.
    if (snapshot->parsed != nullptr && (restored || !fold_.anchored())) {
      in_effect_ = *std::move(snapshot);
      from_peer_ = true;
    } else {
      unusable_version_ = std::max(unusable_version_, snapshot->version);
    }
  }
  fetcher_.Drop(settled_version());
}

void configuration_system::OnSnapshotFailed(member_id peer, time_point now) {
  fetcher_.OnFailed(peer, now);
}

void configuration_system::OnMembers(std::span<const member_id> alive) {
  if (alive.size() != alive_.size()) renewal_turn_.reset();
  alive_.assign(alive.begin(), alive.end());
}

void configuration_system::Tick(time_point now) {
  TickRead(now);
  fetcher_.Tick(in_effect_.version, now);
  TickSnapshot(now);
}

std::string configuration_system::SnapshotFor(std::int64_t known_version) const {
  return in_effect_.version > known_version ? EncodeSnapshot(in_effect_, settings_.environment)
                                            : std::string();
}

std::optional<time_point> configuration_system::reported_at() const {
  const bool was_reported = fetcher_.highest_reported() >= in_effect_.version;
  return was_reported ? std::optional(reported_at_) : std::nullopt;
}

std::string_view configuration_system::problem() const {
  if (unusable_version_ > in_effect_.version) {
    return "a newer version is in force that this build cannot read";
  }
  if (read_failures_ > 0) return "the log is unavailable";
  if (settings_.form == configuration_form::kVersionedDocuments) {
    return has_read_ ? "" : "the log was not read yet";
  }
  if (log_behind_) return "the log ends before the records read earlier";
  if (fold_.position() == 0 && !fold_.anchored()) return "the log was not read yet";
  if (!fold_.anchored()) return "no snapshot covers the beginning of the stream";
  return {};
}

void configuration_system::AdoptDocuments(const log_read& read, time_point now) {
  const bool was_missed = renewed_at_ && now < *renewed_at_ + kMissedTime;
  next_offset_ = std::max(next_offset_, read.first);
  for (const log_record& record : read.records) {
    next_offset_ = std::max(next_offset_, record.offset + 1);
    parse_result parsed = settings_.read_document(record.data);
    folded_record result;
    result.offset = record.offset;
    result.version_before = in_effect_.version;
    result.was_missed = was_missed;
    if (!parsed.value || parsed.value->version < 0) {
      result.outcome = record_outcome::kInvalidDocument;
      result.errors = std::move(parsed.errors);
    } else if (parsed.value->version <= in_effect_.version) {
      result.outcome = record_outcome::kStaleBase;
    } else {
      result.outcome = record_outcome::kAccepted;
      from_peer_ = false;
      in_effect_.version = parsed.value->version;
      in_effect_.as_of = in_effect_.version;
      in_effect_.bytes = record.data;
      in_effect_.digest = DocumentDigest(record.data);
      in_effect_.format = kDocumentFormat;
      in_effect_.parsed = std::make_shared<const document>(*std::move(parsed.value));
    }
    folded_records_.push_back(std::move(result));
  }
  // If the records from the requested offset on have expired, continue with the oldest one
  // kept.
  if (read.records.empty()) next_offset_ = std::max(next_offset_, read.next);
}

std::int64_t configuration_system::NextOffset() const {
  return settings_.form == configuration_form::kVersionedDocuments ? next_offset_
                                                                   : fold_.position();
}

void configuration_system::TrackAppendTimes(const log_read& read, time_point now) {
  if (fold_.newest_anchor() >= 0) restored_at_.reset();
  for (const log_record& record : read.records) {
    if (!appended_.empty() && record.offset <= appended_.back().first) continue;
    appended_.emplace_back(record.offset, now - milliseconds(record.age_ms));
  }
  while (!appended_.empty() && appended_.front().first <= fold_.newest_anchor()) {
    appended_.pop_front();
  }
}

void configuration_system::AdoptHead() {
  if (!fold_.anchored()) return;
  const configuration_snapshot& head = fold_.head();
  if (head.version == in_effect_.version) {
    in_effect_.as_of = std::max(in_effect_.as_of, head.as_of);
  } else if (head.version > in_effect_.version) {
    if (head.parsed != nullptr) {
      in_effect_ = head;
      from_peer_ = false;
    } else {
      unusable_version_ = std::max(unusable_version_, head.version);
    }
  }
  fetcher_.Drop(settled_version());
}

void configuration_system::FailRead(time_point now) {
  read_open_ = false;
  const duration backoff =
      std::min(kMaxRetry, kFirstRetry * (1 << std::min(read_failures_, 8)));
  ++read_failures_;
  next_read_ = now + Jitter(backoff / 2, backoff);
  // Recompute the rank delay after an outage, so that the daemons do not all append at once.
  ranked_anchor_ = kNotRanked;
  unanchored_since_.reset();
}

void configuration_system::TickRead(time_point now) {
  if (read_open_ && now >= read_deadline_) FailRead(now);
  if (!renewal_turn_) PlanRenewal(now);
  if (read_open_ ? IsRenewalDue(now) : now >= next_read_) StartRead(now);
  if (now >= *renewal_turn_) PlanRenewal(now);
}

bool configuration_system::IsRenewalDue(time_point now) const {
  return settings_.form == configuration_form::kVersionedDocuments &&
         now >= std::min(*renewal_turn_, renew_for_peer_at_);
}

void configuration_system::StartRead(time_point now) {
  renewed_at_.reset();
  if (read_open_) {
    renewed_at_ = now;
    ++renewed_reads_;
  }
  read_open_ = true;
  read_deadline_ = now + settings_.read_timeout;
  renew_for_peer_at_ = time_point::max();
  log_.Read(stream_, NextOffset());
}

void configuration_system::PlanRenewal(time_point now) {
  if (turns_began_ == time_point{}) turns_began_ = now;
  const auto members = static_cast<duration::rep>(std::max<std::size_t>(alive_.size(), 1));
  const duration round = std::max(kMinRenewal, settings_.renewal_interval * members);
  const time_point first = turns_began_ + round * (Rank(in_effect_.version) + 1) / members;
  const duration::rep past = now < first ? 0 : (now - first) / round + 1;
  renewal_turn_ = first + round * past;
}

void configuration_system::TickSnapshot(time_point now) {
  if (append_open_ && now >= append_deadline_) OnAppendResult(append_token_, false, now);
  if (settings_.form == configuration_form::kVersionedDocuments) return;
  if (append_open_ || read_failures_ > 0 || log_behind_ || retention_ <= duration(0)) return;
  const std::optional<time_point> due = SnapshotDue();
  if (!due || now < *due) return;
  const std::int64_t anchor = fold_.anchored() ? fold_.newest_anchor() : kNoAnchor;
  if (ranked_anchor_ != anchor) {
    ranked_anchor_ = anchor;
    snapshot_at_ = now + RankDelay();
  }
  if (now < snapshot_at_) return;
  append_open_ = true;
  append_deadline_ = now + kAppendDeadline;
  const configuration_snapshot snapshot =
      fold_.anchored() ? fold_.head() : fold_.Recover(in_effect_);
  log_.Append(stream_, kSnapshotKey, EncodeSnapshot(snapshot, settings_.environment),
              ++append_token_);
}

std::optional<time_point> configuration_system::SnapshotDue() const {
  if (!fold_.anchored()) {
    // Records have expired before this daemon read them. A daemon that has read them appends a
    // snapshot within 3/8 of the retention. If none does, the stream would remain unreadable,
    // so after half of the retention this daemon appends a snapshot of its version in effect.
    if (!unanchored_since_) return std::nullopt;
    return *unanchored_since_ + retention_ / 2;
  }
  if (restored_at_) return restored_at_;
  if (appended_.empty()) return std::nullopt;
  return appended_.front().second + retention_ / 2;
}

std::int64_t configuration_system::Rank(std::int64_t salt) const {
  const auto hash = [salt](member_id member) {
    const std::array<std::uint64_t, 2> input = {member.value, static_cast<std::uint64_t>(salt)};
    return XXH64(input.data(), sizeof(input), 0);
  };
  const auto own = hash(settings_.self);
  return std::ranges::count_if(alive_, [&](member_id member) { return hash(member) < own; });
}

duration configuration_system::RankDelay() {
  const std::int64_t rank = Rank(fold_.newest_anchor());
  const duration step = std::min(kMaxRankStep, retention_ / 40);
  // A snapshot is due when half of the retention is left. The ranked delays take up to a
  // quarter of the retention; daemons with a higher rank wait a random eighth more.
  const duration delay = step * rank;
  return delay < retention_ / 4 ? delay : retention_ / 4 + Jitter(duration(0), retention_ / 8);
}

duration configuration_system::Jitter(duration low, duration high) {
  std::uniform_int_distribution<duration::rep> spread(low.count(), high.count());
  return duration(spread(random_));
}

}  // namespace bronzeroute
