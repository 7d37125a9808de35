#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/configuration_counters.h"
#include "src/configuration/configuration_event.h"
#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/configuration/configuration_settings.h"
#include "src/configuration/configuration_snapshot.h"
#include "src/configuration/document.h"
#include "src/configuration/folded_record.h"
#include "src/configuration/version_fetcher.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Keeps one daemon on the accepted configuration: reads the stream of its environment, fetches
/// a higher version from a peer when the log does not supply it, and keeps the stream readable
/// for new daemons by appending snapshots. The version in effect never decreases.
class configuration_system {
 public:
  /// The ports must outlive the system. Nothing is sent before the first `Tick`.
  configuration_system(configuration_settings settings, log_port& log,
                       configuration_peer_port& peers);

  /// Result of a read. Reads of other streams are ignored.
  void OnLogRead(const log_read& read, time_point now);
  /// A read of `stream` failed. Other streams are ignored.
  void OnLogFailed(std::string_view stream, time_point now);
  /// Result of an append. Tokens that this object did not issue are ignored.
  void OnAppendResult(std::uint64_t token, bool succeeded, time_point now);
  /// `peer`, a member of the same environment, has `version` in effect.
  void OnPeerVersion(member_id peer, std::int64_t version, time_point now);
  /// Reply to `FetchSnapshot`; `record` is empty if the peer has no newer version.
  void OnSnapshot(member_id peer, std::string_view record, time_point now);
  void OnSnapshotFailed(member_id peer, time_point now);
  /// The members that are alive, whether or not this daemon is among them. They take turns in
  /// appending snapshots.
  void OnMembers(std::span<const member_id> alive);
  void Tick(time_point now);

  /// The document in effect, or null.
  std::shared_ptr<const document> current() const { return in_effect_.parsed; }
  /// Version of the document in effect, or -1.
  std::int64_t version() const { return in_effect_.version; }
  /// The document in effect with its bytes and digest.
  const configuration_snapshot& in_effect() const { return in_effect_; }
  /// Where the version in effect came from: "log" or "peer".
  std::string_view source() const { return from_peer_ ? "peer" : "log"; }
  /// Reply to a peer that has `known_version`: a snapshot record, or empty if the version in
  /// effect here is not higher.
  std::string SnapshotFor(std::int64_t known_version) const;
  /// Why this daemon may not have the newest configuration; empty if there is no known reason.
  std::string_view problem() const;
  /// Returns the records folded since the last call, for the daemon's log lines.
  std::vector<folded_record> TakeFoldedRecords() { return std::exchange(folded_records_, {}); }
  /// Returns what happened since the last call, for the daemon's log lines.
  std::vector<configuration_event> TakeEvents() { return fetcher_.TakeEvents(); }
  configuration_counters counters() const {
    return {.renewed_reads = renewed_reads_,
            .fetches = fetcher_.fetches(),
            .failed_fetches = fetcher_.failed_fetches()};
  }
  /// When a peer first reported the version in effect or a later one; nullopt if none did
  /// before it was in effect here.
  std::optional<time_point> reported_at() const;

 private:
  /// Value of `ranked_anchor_` while no rank delay is computed.
  static constexpr std::int64_t kNotRanked = -2;
  /// Value of `ranked_anchor_` for a fold that is not anchored.
  static constexpr std::int64_t kNoAnchor = -3;

  /// The highest version for which no peer is needed: it is in effect, or cannot be.
  std::int64_t settled_version() const {
    return std::max(in_effect_.version, unusable_version_);
  }
  /// Puts the highest version in effect, for documents that contain their own version.
  void AdoptDocuments(const log_read& read, time_point now);
  std::int64_t NextOffset() const;
  /// Keeps `appended_` and `restored_at_` up to date after a read.
  void TrackAppendTimes(const log_read& read, time_point now);
  /// Puts the accepted version of the fold in effect if it is higher than the current one.
  void AdoptHead();
  void FailRead(time_point now);
  void TickRead(time_point now);
  void StartRead(time_point now);
  /// True if the open read is to be given up for a new one.
  bool IsRenewalDue(time_point now) const;
  /// Sets the next turn of this daemon to renew its read. The members take turns, counted from
  /// `turns_began_`, so that the renewals of all are evenly spaced even though a new version
  /// makes all of them start a read at the same moment.
  void PlanRenewal(time_point now);
  void TickSnapshot(time_point now);
  /// When the stream needs a new snapshot; nullopt while it needs none.
  std::optional<time_point> SnapshotDue() const;
  /// Delay of this daemon's append after a snapshot is due. It grows with the daemon's rank
  /// among the members, a pseudo-random order that changes with each anchor, so that usually
  /// one daemon appends and the others read its snapshot in time.
  duration RankDelay();
  /// Position of this daemon among the members in a pseudo-random order that depends on `salt`.
  std::int64_t Rank(std::int64_t salt) const;
  duration Jitter(duration low, duration high);

  configuration_settings settings_;
  std::string stream_;
  log_port& log_;
  std::mt19937_64 random_;

  configuration_fold fold_;
  configuration_snapshot in_effect_;
  bool from_peer_ = false;
  std::vector<folded_record> folded_records_;
  std::uint64_t renewed_reads_ = 0;
  /// Highest version that cannot be put in effect: this build cannot read it, or the fold did
  /// not accept it.
  std::int64_t unusable_version_ = -1;

  /// Offset of the next read of versioned documents.
  std::int64_t next_offset_ = 0;
  bool read_open_ = false;
  bool has_read_ = false;
  time_point read_deadline_{};
  /// When the open read took the place of one without a result; nullopt if it did not.
  std::optional<time_point> renewed_at_;
  /// When the read is renewed because a peer has a higher version.
  time_point renew_for_peer_at_ = time_point::max();
  /// When a version was taken from the log last, which happens at all daemons together.
  time_point turns_began_{};
  /// The next turn of this daemon to renew its read; nullopt if it must be planned.
  std::optional<time_point> renewal_turn_;
  time_point next_read_{};
  int read_failures_ = 0;
  /// True if the log ends before records that were read earlier.
  bool log_behind_ = false;

  /// When a peer reported the highest version that peers have reported.
  time_point reported_at_{};
  version_fetcher fetcher_;

  std::vector<member_id> alive_;
  duration retention_{};
  /// Offsets and append times of the records after the newest snapshot's `as_of`.
  std::deque<std::pair<std::int64_t, time_point>> appended_;
  /// Time of the last `Restore`, until a snapshot is read from the stream. In between, the age
  /// of the newest snapshot in the stream is unknown.
  std::optional<time_point> restored_at_;
  /// Since when reads have reached the end of the stream without a snapshot to start from.
  std::optional<time_point> unanchored_since_;
  /// Newest anchor for which `snapshot_at_` was computed.
  std::int64_t ranked_anchor_ = kNotRanked;
  time_point snapshot_at_{};
  std::uint64_t append_token_;
  bool append_open_ = false;
  time_point append_deadline_{};
};

}  // namespace bronzeroute
