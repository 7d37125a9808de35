#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "src/configuration/configuration_snapshot.h"
#include "src/configuration/folded_record.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

namespace proto {
class Publication;
class Snapshot;
}  // namespace proto

/// Folds the records of one configuration stream, in offset order, into the accepted version.
/// Two folds that have read up to the same offset have the same accepted version, wherever each
/// of them started to read.
///
/// A publication is accepted if and only if its base is the version accepted before it, its
/// digest matches and it parses. A fold is *anchored* while it has the state that results from
/// all records before `position()`. If the first records of the stream have expired, it is not
/// anchored and holds records back until it reads a snapshot that covers every expired record.
class configuration_fold {
 public:
  explicit configuration_fold(std::string environment) : environment_(std::move(environment)) {}

  /// Folds one read. Records that were folded before are skipped, so a read may be repeated or
  /// arrive late. Returns the outcome of each newly folded record.
  std::vector<folded_record> Fold(const log_read& read);

  /// Continues from a snapshot that was received from a peer. Returns false, without effect, if
  /// the snapshot is older than the state of an anchored fold or leaves a gap before the next
  /// record.
  bool Restore(const configuration_snapshot& snapshot);

  /// For a fold that is not anchored and has reached the end of its stream: the snapshot that
  /// results from applying the held-back records to `state`. To be used when no daemon has the
  /// state before the first kept record. The fold is not changed: the snapshot has to be
  /// appended to the stream, where the earliest one takes effect for every reader.
  configuration_snapshot Recover(const configuration_snapshot& state) const;

  /// True if `head()` covers all records before `position()`.
  bool anchored() const { return anchored_; }
  /// Offset of the next record to read.
  std::int64_t position() const { return position_; }
  /// The accepted version and its bytes, as of `position() - 1`. Not meaningful while the fold
  /// is not anchored.
  const configuration_snapshot& head() const { return head_; }
  /// `as_of` of the newest valid snapshot read from the stream since the start or the last
  /// `Restore`; -1 if there is none. New readers can start from that snapshot as long as the
  /// record at offset `as_of + 1` has not expired.
  std::int64_t newest_anchor() const { return newest_anchor_; }

 private:
  void Unanchor(std::int64_t first);
  void TryAnchor(const log_record& record, std::vector<folded_record>& folded_records);
  folded_record Apply(const log_record& record);
  void CheckSnapshot(const proto::Snapshot& snapshot, std::int64_t offset);
  void ApplyPublication(proto::Publication& publication, folded_record& result);

  std::string environment_;
  bool anchored_ = false;
  std::int64_t position_ = 0;
  /// Smallest `as_of` of a snapshot that leaves no gap before the first kept record.
  std::int64_t needed_as_of_ = -1;
  std::int64_t newest_anchor_ = -1;
  configuration_snapshot head_;
  /// Records held back while not anchored.
  std::vector<log_record> pending_;
  /// Ids of the latest accepted publications, newest last. They only serve to distinguish
  /// duplicates from stale bases.
  std::deque<std::string> accepted_ids_;
};

}  // namespace bronzeroute
