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

/// Folds the records of one configuration stream, in order of offsets, to the accepted version.
/// Two folds that have read up to the same offset agree, whenever each of them began.
///
/// A publication is accepted if and only if its base is the version accepted before it, its
/// digest matches and it parses. If the beginning of the stream is no longer kept, the fold is
/// not *anchored*: it holds records back until it meets a snapshot that covers everything
/// before the first kept record.
class configuration_fold {
 public:
  explicit configuration_fold(std::string environment) : environment_(std::move(environment)) {}

  /// Folds one read. Records that were folded before are skipped, so repeated and late reads do
  /// no harm. Returns a verdict for each record that was folded.
  std::vector<folded_record> Fold(const log_read& read);

  /// Continues from a snapshot that came from elsewhere. True if it took effect: it must not
  /// lie before what an anchored fold has read.
  bool Restore(const configuration_snapshot& snapshot);

  /// For a fold that is not anchored and met the end of its stream: the snapshot that anchors
  /// it if nothing but `state` is left of what was accepted before the first kept record. It
  /// takes effect only through the stream, where the earliest one counts for every reader.
  configuration_snapshot Recover(const configuration_snapshot& state) const;

  /// True if the state up to `position()` is known.
  bool anchored() const { return anchored_; }
  /// Offset of the next record wanted.
  std::int64_t position() const { return position_; }
  /// The accepted version and its bytes, as of `position() - 1`. Not meaningful while the fold
  /// is not anchored.
  const configuration_snapshot& head() const { return head_; }
  /// `as_of` of the newest snapshot met in the stream; -1 if there is none since the start
  /// or the last `Restore`. A reader can begin with that snapshot for as long as the record
  /// after it is kept.
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
  /// Snapshots before this offset leave a gap.
  std::int64_t needed_as_of_ = -1;
  std::int64_t newest_anchor_ = -1;
  configuration_snapshot head_;
  /// Records read while not anchored.
  std::vector<log_record> pending_;
  /// Ids of the latest accepted publications, newest last; they only name duplicates.
  std::deque<std::string> accepted_ids_;
};

}  // namespace bronzeroute
