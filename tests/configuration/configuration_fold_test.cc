#include "src/configuration/configuration_fold.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proto/configuration.pb.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/parse_document.h"
#include "tests/configuration/log_model.h"
#include "tests/configuration/sample_document.h"

namespace bronzeroute {
namespace {

std::string Publication(const std::string& id, std::int64_t base, int number) {
  return EncodePublication(id, base, SampleDocument(number), std::nullopt);
}

std::vector<record_outcome> FoldOutcomes(configuration_fold& fold, const log_read& read) {
  std::vector<record_outcome> result;
  for (const folded_record& row : fold.Fold(read)) result.push_back(row.outcome);
  return result;
}

// Guards against accepting a record that has to be refused, for each reason, and against
// reporting another reason.
TEST(ConfigurationFold, GivesTheReasonForEachRefusal) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  log.Append(Publication("b", -1, 2));
  log.Append(Publication("a", -1, 1));
  log.Append(EncodePublication("c", 0, "format = 1", std::nullopt));
  proto::ConfigurationRecord record;
  record.ParseFromString(Publication("d", 0, 3));
  record.mutable_publication()->set_digest(7);
  log.Append(record.SerializeAsString());
  log.Append("\x07 not a record");
  log.Append("");
  log.Append(Publication("e", 0, 4));
  configuration_fold fold("trial");
  EXPECT_EQ(
      FoldOutcomes(fold, log.Read(0)),
      (std::vector<record_outcome>{record_outcome::kAccepted, record_outcome::kStaleBase,
                                   record_outcome::kDuplicate, record_outcome::kInvalidDocument,
                                   record_outcome::kBadDigest, record_outcome::kUnreadable,
                                   record_outcome::kUnreadable, record_outcome::kAccepted}));
  EXPECT_EQ(fold.head().version, 7);
  EXPECT_EQ(fold.head().bytes, SampleDocument(4));
}

// Guards against a daemon of an older build that accepts a publication which newer builds
// refuse as stale, after which their accepted versions would differ permanently.
TEST(ConfigurationFold, UnknownFormatAdvancesTheVersionWithoutADocument) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  proto::ConfigurationRecord newer;
  newer.ParseFromString(Publication("b", 0, 2));
  newer.mutable_publication()->set_format(kDocumentFormat + 1);
  log.Append(newer.SerializeAsString());
  log.Append(Publication("c", 0, 3));
  configuration_fold fold("trial");
  EXPECT_EQ(FoldOutcomes(fold, log.Read(0)),
            (std::vector<record_outcome>{record_outcome::kAccepted,
                                         record_outcome::kUnsupportedFormat,
                                         record_outcome::kStaleBase}));
  EXPECT_EQ(fold.head().parsed, nullptr);
  log.Append(Publication("d", 1, 4));
  EXPECT_EQ(FoldOutcomes(fold, log.Read(3)),
            std::vector<record_outcome>{record_outcome::kAccepted});
}

// Guards against starting from a snapshot that leaves a gap before the first record kept.
TEST(ConfigurationFold, IgnoresSnapshotsThatLeaveAGap) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  configuration_fold writer("trial");
  writer.Fold(log.Read(0));
  const std::string early = EncodeSnapshot(writer.head(), "trial");
  log.Append(Publication("b", 0, 2));  // precedes the snapshot whose as_of is 0
  log.Append(early);
  writer.Fold(log.Read(1));
  log.first = 2;
  configuration_fold reader("trial");
  reader.Fold(log.Read(0));
  EXPECT_FALSE(reader.anchored());
  log.Append(EncodeSnapshot(writer.head(), "trial"));
  reader.Fold(log.Read(reader.position()));
  EXPECT_TRUE(reader.anchored());
  EXPECT_EQ(reader.head().version, 1);
}

// Guards against treating a stream whose records have all expired as one that never had any.
TEST(ConfigurationFold, DoesNotTreatAnExpiredStreamAsEmpty) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  log.first = 1;
  configuration_fold reader("trial");
  reader.Fold(log.Read(0));
  EXPECT_FALSE(reader.anchored());
  log.Append(Publication("b", -1, 2));
  EXPECT_TRUE(reader.Fold(log.Read(reader.position())).empty());
}

// Guards against losing a publication whose offset is between a snapshot's `as_of` and the
// offset of the snapshot itself.
TEST(ConfigurationFold, FoldsRecordsBetweenASnapshotAndItsState) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  log.Append("junk");
  configuration_fold writer("trial");
  writer.Fold(log.Read(0));
  log.Append(Publication("b", 0, 2));
  log.Append(EncodeSnapshot(writer.head(), "trial"));
  log.first = 1;
  configuration_fold reader("trial");
  reader.Fold(log.Read(0));
  EXPECT_EQ(reader.head().version, 2);
  EXPECT_EQ(reader.head().bytes, SampleDocument(2));
}

// Guards against accepting a snapshot of another environment or with damaged bytes.
TEST(ConfigurationFold, DecodeSnapshotRejectsOtherEnvironmentsAndDamagedBytes) {
  log_model log;
  log.Append(Publication("a", -1, 1));
  configuration_fold writer("trial");
  writer.Fold(log.Read(0));
  EXPECT_TRUE(DecodeSnapshot(EncodeSnapshot(writer.head(), "trial"), "trial"));
  EXPECT_FALSE(DecodeSnapshot(EncodeSnapshot(writer.head(), "trial"), "production"));
  configuration_snapshot damaged = writer.head();
  damaged.bytes += " ";
  EXPECT_FALSE(DecodeSnapshot(EncodeSnapshot(damaged, "trial"), "trial"));
}

}  // namespace
}  // namespace bronzeroute
