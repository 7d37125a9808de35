#pragma once

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
#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/configuration/configuration_settings.h"
#include "src/configuration/configuration_snapshot.h"
#include "src/configuration/document.h"
#include "src/configuration/folded_record.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Keeps one daemon at the accepted configuration: reads the stream of its environment, takes a
/// higher version from a peer when the log does not supply it, and keeps the stream readable by
/// appending snapshots. The version in effect never falls.
class configuration_system {
 public:
  /// The ports must outlive the system. Nothing is sent before the first `Tick`.
  configuration_system(configuration_settings settings, log_port& log,
                       configuration_peer_port& peers);

  /// Result of a read. Reads of other streams are ignored.
  void OnLogRead(const log_read& read, time_point now);
  /// A read of `stream` failed. Other streams are ignored.
  void OnLogFailed(std::string_view stream, time_point now);
  /// Result of an append. Tokens of others are ignored.
  void OnAppendResult(std::uint64_t token, bool succeeded, time_point now);
  /// `peer`, a member of the same environment, has `version` in effect.
  void OnPeerVersion(member_id peer, std::int64_t version, time_point now);
  /// Response to `FetchSnapshot`; `record` is empty if the peer has nothing newer.
  void OnSnapshot(member_id peer, std::string_view record, time_point now);
  void OnSnapshotFailed(member_id peer, time_point now);
  /// Members that are alive, with or without this one; they share the work of snapshots.
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
  /// Reply to a peer that has `known_version`: a snapshot record, or empty if that is as new.
  std::string SnapshotFor(std::int64_t known_version) const;
  /// What stands between this daemon and the newest configuration; empty if nothing does.
  std::string_view problem() const;
  /// Verdicts since the last call, for the daemon's log.
  std::vector<folded_record> TakeFoldedRecords() { return std::exchange(folded_records_, {}); }

 private:
  static constexpr std::int64_t kNotRanked = -2;
  static constexpr std::int64_t kNoAnchor = -3;

  /// Takes the highest version among documents that name theirs.
  void AdoptDocuments(const log_read& read);
  std::int64_t NextOffset() const;
  void NoteRecords(const log_read& read, time_point now);
  void AdoptHead();
  void FailRead(time_point now);
  void FailFetch(time_point now);
  void DropStalePeers();
  void TickRead(time_point now);
  void TickFetch(time_point now);
  void TickSnapshot(time_point now);
  std::optional<time_point> SnapshotDue() const;
  duration RankDelay();
  duration Jitter(duration low, duration high);

  configuration_settings settings_;
  std::string stream_;
  log_port& log_;
  configuration_peer_port& peers_;
  std::mt19937_64 random_;

  configuration_fold fold_;
  configuration_snapshot in_effect_;
  bool from_peer_ = false;
  std::vector<folded_record> folded_records_;
  /// Highest version that cannot be taken over from peers.
  std::int64_t unusable_version_ = -1;

  /// Offset of the next read of versioned documents.
  std::int64_t next_offset_ = 0;
  bool read_open_ = false;
  bool read_once_ = false;
  time_point read_deadline_{};
  time_point next_read_{};
  int read_failures_ = 0;
  bool log_behind_ = false;

  /// Peers with `peer_version_`, the highest version heard of above the one in effect.
  std::vector<member_id> newer_peers_;
  std::int64_t peer_version_ = -1;
  time_point fetch_at_{};
  std::optional<member_id> fetching_from_;
  time_point fetch_deadline_{};

  std::vector<member_id> alive_;
  duration retention_{};
  /// Append times of the records after the newest snapshot's `as_of`.
  std::deque<std::pair<std::int64_t, time_point>> appended_;
  /// Set while the fold continues from a peer's snapshot and no record tells the age of the
  /// newest snapshot in the stream.
  std::optional<time_point> restored_at_;
  /// Set while reads reach the end of the stream without a snapshot to begin with.
  std::optional<time_point> unanchored_since_;
  /// Newest anchor for which `snapshot_at_` was computed.
  std::int64_t ranked_anchor_ = kNotRanked;
  time_point snapshot_at_{};
  std::uint64_t append_token_;
  bool append_open_ = false;
  time_point append_deadline_{};
};

}  // namespace bronzeroute
