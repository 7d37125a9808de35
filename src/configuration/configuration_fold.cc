#include "src/configuration/configuration_fold.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "proto/configuration.pb.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/parse_document.h"

namespace bronzeroute {
namespace {

// Number of accepted publication ids kept to recognize duplicates. Operators repeat an append
// within minutes, and 256 ids last half a day at 440 publications a day.
constexpr std::size_t kMaxRememberedIds = 256;

}  // namespace

std::vector<folded_record> configuration_fold::Fold(const log_read& read) {
  std::vector<folded_record> folded_records;
  if (read.first > position_) {
    Unanchor(read.first);
  } else if (position_ == 0) {
    anchored_ = true;
  }
  for (const log_record& record : read.records) {
    if (record.offset < position_) continue;
    if (record.offset > position_) Unanchor(record.offset);
    position_ = record.offset + 1;
    if (anchored_) {
      folded_records.push_back(Apply(record));
    } else {
      pending_.push_back(record);
      TryAnchor(record, folded_records);
    }
  }
  return folded_records;
}

bool configuration_fold::Restore(const configuration_snapshot& snapshot) {
  if (snapshot.as_of < (anchored_ ? position_ - 1 : needed_as_of_)) return false;
  head_ = snapshot;
  anchored_ = true;
  position_ = snapshot.as_of + 1;
  newest_anchor_ = -1;
  pending_.clear();
  return true;
}

configuration_snapshot configuration_fold::Recover(const configuration_snapshot& state) const {
  configuration_fold copy = *this;
  copy.head_ = state;
  for (const log_record& record : pending_) copy.Apply(record);
  copy.head_.as_of = position_ - 1;
  return copy.head_;
}

void configuration_fold::Unanchor(std::int64_t first) {
  anchored_ = false;
  position_ = first;
  needed_as_of_ = first - 1;
  pending_.clear();
}

void configuration_fold::TryAnchor(const log_record& record,
                                   std::vector<folded_record>& folded_records) {
  std::optional<configuration_snapshot> snapshot = DecodeSnapshot(record.data, environment_);
  if (!snapshot || snapshot->as_of < needed_as_of_ || snapshot->as_of >= record.offset) return;
  head_ = *std::move(snapshot);
  anchored_ = true;
  newest_anchor_ = head_.as_of;
  const std::int64_t as_of = head_.as_of;
  const std::vector<log_record> records = std::exchange(pending_, {});
  for (const log_record& held : records) {
    if (held.offset > as_of) folded_records.push_back(Apply(held));
  }
}

folded_record configuration_fold::Apply(const log_record& record) {
  folded_record result;
  result.offset = record.offset;
  result.version_before = head_.version;
  proto::ConfigurationRecord message;
  if (message.ParseFromString(record.data)) {
    if (message.has_snapshot()) {
      result.outcome = record_outcome::kSnapshot;
      CheckSnapshot(message.snapshot(), record.offset);
    } else if (message.has_publication()) {
      ApplyPublication(*message.mutable_publication(), result);
    }
  }
  head_.as_of = record.offset;
  return result;
}

void configuration_fold::CheckSnapshot(const proto::Snapshot& snapshot, std::int64_t offset) {
  // A snapshot that contradicts the fold must not count as an anchor: this daemon would then
  // not append a correct one.
  const bool agrees =
      snapshot.version() < head_.version ||
      (snapshot.version() == head_.version && snapshot.digest() == head_.digest);
  if (agrees && snapshot.environment() == environment_ && snapshot.as_of() < offset &&
      (snapshot.version() == -1 || DocumentDigest(snapshot.document()) == snapshot.digest())) {
    newest_anchor_ = std::max(newest_anchor_, snapshot.as_of());
  }
}

void configuration_fold::ApplyPublication(proto::Publication& publication,
                                          folded_record& result) {
  result.publication_id = publication.publication_id();
  result.base_version = publication.base_version();
  if (publication.has_trial_version()) result.trial_version = publication.trial_version();
  if (publication.base_version() != head_.version) {
    const bool repeated =
        std::ranges::find(accepted_ids_, result.publication_id) != accepted_ids_.end();
    result.outcome = repeated ? record_outcome::kDuplicate : record_outcome::kStaleBase;
    return;
  }
  if (DocumentDigest(publication.document()) != publication.digest()) {
    result.outcome = record_outcome::kBadDigest;
    return;
  }
  std::shared_ptr<const document> parsed;
  if (publication.format() == kDocumentFormat) {
    parse_result outcome = ParseDocument(publication.document(), "document");
    if (!outcome.value) {
      result.outcome = record_outcome::kInvalidDocument;
      result.errors = std::move(outcome.errors);
      return;
    }
    parsed = std::make_shared<const document>(*std::move(outcome.value));
    result.outcome = record_outcome::kAccepted;
  } else {
    // Builds that can read this format accept the record, so the version has to advance here
    // too. Otherwise this build could accept a concurrent publication that the other builds
    // refuse, and the accepted versions would differ from then on.
    result.outcome = record_outcome::kUnsupportedFormat;
  }
  head_.version = result.offset;
  head_.digest = publication.digest();
  head_.format = publication.format();
  head_.bytes = std::move(*publication.mutable_document());
  head_.parsed = std::move(parsed);
  accepted_ids_.push_back(result.publication_id);
  if (accepted_ids_.size() > kMaxRememberedIds) accepted_ids_.pop_front();
}

}  // namespace bronzeroute
