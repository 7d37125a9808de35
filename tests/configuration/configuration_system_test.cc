#include "src/configuration/configuration_system.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "proto/configuration.pb.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/parse_result.h"
#include "tests/configuration/log_model.h"
#include "tests/configuration/mock_configuration_peers.h"
#include "tests/configuration/mock_log.h"
#include "tests/configuration/sample_document.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;
using tests::mock_configuration_peers;
using tests::mock_log;

constexpr std::string_view kStream = "config.trial";
constexpr member_id kSelf{1};
constexpr member_id kPeer{2};
constexpr member_id kOtherPeer{3};

class ConfigurationSystemTest : public testing::Test {
 protected:
  ConfigurationSystemTest() {
    ON_CALL(log_, Read(_, _)).WillByDefault([this](std::string_view, std::int64_t from) {
      ++reads_;
      from_ = from;
      reading_ = true;
    });
    ON_CALL(log_, Append(_, _, _, _))
        .WillByDefault([this](std::string_view, std::string_view, std::string_view data,
                              std::uint64_t token) { appends_.emplace_back(data, token); });
    ON_CALL(peers_, FetchSnapshot(_, _)).WillByDefault([this](member_id peer, std::int64_t) {
      fetched_.push_back(peer.value);
    });
    Start(kSelf);
  }

  void Start(member_id self) {
    system_ = std::make_unique<configuration_system>(configuration_settings{"trial", self, 1},
                                                     log_, peers_);
  }

  // Ticks every 10 ms for `time`. Reads succeed if `log_responds` is true and fail otherwise.
  void Run(duration time, bool log_responds) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(10);
      system_->Tick(now_);
      if (reading_) {
        reading_ = false;
        if (log_responds) {
          log_read read = stream_.Read(from_);
          for (log_record& record : read.records) record.age_ms = age_ms_;
          system_->OnLogRead(read, now_);
        } else {
          system_->OnLogFailed(kStream, now_);
        }
      }
    }
  }

  std::int64_t Publish(std::int64_t base, int number) {
    return stream_.Append(EncodePublication("id" + std::to_string(number), base,
                                            SampleDocument(number), std::nullopt));
  }

  // The snapshot record of a peer that has read the whole stream.
  std::string PeerSnapshot() const {
    configuration_fold fold("trial");
    fold.Fold(stream_.Read(0));
    return EncodeSnapshot(fold.head(), "trial");
  }

  NiceMock<mock_log> log_;
  NiceMock<mock_configuration_peers> peers_;
  log_model stream_;
  std::unique_ptr<configuration_system> system_;
  time_point now_{};
  std::int64_t age_ms_ = 0;
  int reads_ = 0;
  std::int64_t from_ = 0;
  bool reading_ = false;
  std::vector<std::pair<std::string, std::uint64_t>> appends_;
  std::vector<std::uint64_t> fetched_;
};

// Guards against a publication that does not take effect although the log is available.
TEST_F(ConfigurationSystemTest, AppliesPublicationsFromTheLog) {
  EXPECT_EQ(system_->version(), -1);
  EXPECT_EQ(system_->current(), nullptr);
  Publish(-1, 1);
  Run(milliseconds(200), true);
  EXPECT_EQ(system_->version(), 0);
  Publish(0, 2);
  Run(milliseconds(200), true);
  EXPECT_EQ(system_->current()->name, "sample-2");
  EXPECT_EQ(system_->TakeFoldedRecords().size(), 2U);
  EXPECT_EQ(system_->problem(), "");
}

// Guards against overloading an unavailable log with reads, and against no longer reading it.
TEST_F(ConfigurationSystemTest, BacksOffWhileTheLogIsUnavailable) {
  Run(seconds(60), false);
  EXPECT_GE(reads_, 60 / 4);
  EXPECT_LE(reads_, 40);
  EXPECT_EQ(system_->problem(), "the log is unavailable");
  Publish(-1, 1);
  Run(seconds(5), true);
  EXPECT_EQ(system_->version(), 0);
}

// Guards against a daemon that waits indefinitely for the result of a lost read.
TEST_F(ConfigurationSystemTest, RepeatsAReadWithoutResult) {
  system_->Tick(now_);
  EXPECT_EQ(reads_, 1);
  now_ += seconds(11);
  system_->Tick(now_);
  now_ += seconds(1);
  system_->Tick(now_);
  EXPECT_EQ(reads_, 2);
}

// Guards against a daemon that starts during a log outage and does not fetch from its peers. By
// that way, too, a change must take effect within 6 s.
TEST_F(ConfigurationSystemTest, TakesAHigherVersionFromAPeerWithoutTheLog) {
  Publish(-1, 1);
  Run(milliseconds(100), false);
  system_->OnPeerVersion(kPeer, 0, now_);
  Run(milliseconds(600), false);
  ASSERT_EQ(fetched_, std::vector<std::uint64_t>{kPeer.value});
  system_->OnSnapshot(kPeer, PeerSnapshot(), now_);
  EXPECT_EQ(system_->version(), 0);
  EXPECT_EQ(system_->in_effect().bytes, SampleDocument(1));
  // The daemon sends the version to its peers, and reads on after it once the log is available.
  EXPECT_FALSE(system_->SnapshotFor(-1).empty());
  EXPECT_TRUE(system_->SnapshotFor(0).empty());
  Run(seconds(5), true);
  EXPECT_EQ(from_, 1);
}

// Guards against a change that is late after two lost fetches: a third peer must be used within
// 6 s.
TEST_F(ConfigurationSystemTest, FetchesFromAnotherPeerAfterFailedFetches) {
  Publish(-1, 1);
  Run(milliseconds(100), true);
  Publish(0, 2);
  const time_point reported_at = now_;
  for (const member_id peer : {kPeer, kOtherPeer, member_id{4}}) {
    system_->OnPeerVersion(peer, 1, now_);
  }
  while (fetched_.size() < 3 && now_ < reported_at + seconds(6)) Run(milliseconds(10), false);
  ASSERT_EQ(fetched_.size(), 3U);
  EXPECT_EQ(std::set<std::uint64_t>(fetched_.begin(), fetched_.end()).size(), 3U);
}

// Guards against returning to the older version of a peer that lags behind.
TEST_F(ConfigurationSystemTest, NeverReturnsToALowerVersion) {
  Publish(-1, 1);
  const std::string older = PeerSnapshot();
  Publish(0, 2);
  Run(milliseconds(200), true);
  system_->OnPeerVersion(kPeer, 0, now_);
  Run(seconds(3), true);
  EXPECT_TRUE(fetched_.empty());
  system_->OnSnapshot(kPeer, older, now_);
  EXPECT_EQ(system_->version(), 1);
  // If the log loses its records, the daemon keeps its version.
  stream_.history.clear();
  Publish(-1, 3);
  Run(seconds(3), true);
  EXPECT_EQ(system_->version(), 1);
  EXPECT_EQ(system_->problem(), "the log ends before the records read earlier");
}

// Guards against losing the version in effect when records expire before the daemon reads them.
TEST_F(ConfigurationSystemTest, KeepsTheVersionWhileNoSnapshotCoversTheExpiredRecords) {
  Publish(-1, 1);
  Run(milliseconds(200), true);
  Publish(0, 2);
  const std::string snapshot = PeerSnapshot();
  stream_.Append("junk");
  stream_.first = 2;
  Run(milliseconds(200), true);
  EXPECT_EQ(system_->version(), 0);
  EXPECT_EQ(system_->problem(), "no snapshot covers the beginning of the stream");
  stream_.Append(snapshot);
  Run(milliseconds(300), true);
  EXPECT_EQ(system_->version(), 1);
}

// Guards against returning to the older version of the snapshot that anchors the fold again
// after records expired unread.
TEST_F(ConfigurationSystemTest, KeepsAVersionAboveTheSnapshotThatAnchorsTheStream) {
  Publish(-1, 1);
  const std::string older = PeerSnapshot();
  Publish(0, 2);
  Run(milliseconds(200), true);
  stream_.Append("junk");
  stream_.first = 3;
  proto::ConfigurationRecord record;
  record.ParseFromString(older);
  record.mutable_snapshot()->set_as_of(2);
  stream_.Append(record.SerializeAsString());
  Run(milliseconds(300), true);
  EXPECT_EQ(system_->problem(), "");
  EXPECT_EQ(system_->version(), 1);
}

// Guards against a stream whose first records expire before a snapshot is appended, also when
// publications are so frequent that the newest one is always recent.
TEST_F(ConfigurationSystemTest, AppendsASnapshotBeforeRetentionPasses) {
  std::int64_t base = -1;
  for (int number = 1; number <= 40 && appends_.empty(); ++number) {
    base = Publish(base, number);
    // The retention of the model is one hour.
    for (int second = 0; second < 60 && appends_.empty(); ++second) Run(seconds(1), true);
  }
  ASSERT_EQ(appends_.size(), 1U);
  EXPECT_GE(now_.time_since_epoch(), seconds(1800));
  EXPECT_LE(now_.time_since_epoch(), seconds(1900));
  stream_.Append(appends_[0].first);
  system_->OnAppendResult(appends_[0].second, true, now_);
  stream_.first = 1;
  Run(seconds(600), true);
  EXPECT_EQ(appends_.size(), 1U);
  Start(kPeer);
  Run(milliseconds(200), true);
  EXPECT_EQ(system_->version(), base);
}

// Guards against all daemons appending the same snapshot at the same time.
TEST_F(ConfigurationSystemTest, OneDaemonAppendsTheSnapshotBeforeTheOthers) {
  std::vector<member_id> members;
  for (std::uint64_t value = 1; value <= 50; ++value) members.push_back({value});
  Publish(-1, 1);
  age_ms_ = 1'800'000;
  int early = 0;
  for (const member_id self : members) {
    Start(self);
    system_->OnMembers(members);
    appends_.clear();
    Run(milliseconds(1500), true);
    early += static_cast<int>(appends_.size());
  }
  EXPECT_EQ(early, 1);
  // The others append it if the first one fails to.
  for (int second = 0; second < 100 && appends_.empty(); ++second) Run(seconds(1), true);
  EXPECT_EQ(appends_.size(), 1U);
}

// Guards against not repeating a snapshot whose append was lost.
TEST_F(ConfigurationSystemTest, RetriesASnapshotWhoseAppendFailed) {
  Publish(-1, 1);
  age_ms_ = 1'800'000;
  Run(milliseconds(500), true);
  ASSERT_EQ(appends_.size(), 1U);
  system_->OnAppendResult(appends_[0].second, false, now_);
  Run(seconds(11), true);
  EXPECT_EQ(appends_.size(), 2U);
}

class VersionedDocumentsTest : public testing::Test {
 protected:
  static parse_result Read(std::string_view bytes) {
    parse_result result;
    document& read = result.value.emplace();
    if (!absl::SimpleAtoi(absl::string_view(bytes.data(), bytes.size()), &read.version)) {
      result.value.reset();
      result.errors.push_back({.file = "test",
                               .key = "version",
                               .found = std::string(bytes),
                               .allowed = "a number"});
    }
    return result;
  }
  void Deliver(std::int64_t offset, std::string data) {
    system_.OnLogRead({.stream = "config.production",
                       .next = offset + 1,
                       .records = {{.offset = offset, .data = std::move(data)}}},
                      now_);
  }

  time_point now_{std::chrono::seconds(100)};
  testing::NiceMock<mock_log> log_;
  testing::NiceMock<mock_configuration_peers> peers_;
  configuration_system system_{{.environment = "production",
                                .self = kSelf,
                                .seed = 1,
                                .form = configuration_form::kVersionedDocuments,
                                .read_document = Read},
                               log_,
                               peers_};
};

// Guards against a version that decreases and against a damaged document that takes effect.
TEST_F(VersionedDocumentsTest, AppliesTheHighestVersionFromTheLog) {
  Deliver(0, "7");
  EXPECT_EQ(system_.version(), 7);
  EXPECT_EQ(system_.source(), "log");
  Deliver(1, "5");
  EXPECT_EQ(system_.version(), 7);
  Deliver(2, "damaged");
  EXPECT_EQ(system_.version(), 7);
  Deliver(3, "12");
  EXPECT_EQ(system_.version(), 12);
  EXPECT_EQ(system_.in_effect().bytes, "12");
}

// Guards against a damaged document whose log line does not say what is wrong with it.
TEST_F(VersionedDocumentsTest, ReportsTheErrorsOfARejectedDocument) {
  Deliver(0, "damaged");
  const std::vector<folded_record> records = system_.TakeFoldedRecords();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].outcome, record_outcome::kInvalidDocument);
  ASSERT_EQ(records[0].errors.size(), 1U);
  EXPECT_EQ(records[0].errors[0].found, "damaged");
}

// Guards against renewals that multiply with the number of daemons, since the log limits reads.
TEST_F(VersionedDocumentsTest, ReadsAreRenewedLessOftenWithMoreDaemons) {
  int reads = 0;
  ON_CALL(log_, Read(_, _)).WillByDefault([&](std::string_view, std::int64_t) { ++reads; });
  std::vector<member_id> members;
  for (std::uint64_t value = 1; value <= 20; ++value) members.push_back({value});
  system_.OnMembers(members);
  for (const time_point end = now_ + seconds(60); now_ < end; now_ += milliseconds(10)) {
    system_.Tick(now_);
  }
  // Each of the 20 daemons renews its read every 6 s on average.
  EXPECT_GE(reads, 8);
  EXPECT_LE(reads, 14);
}

// Guards against a version that peers have and a silent read does not deliver, while the peers
// are slow to supply it.
TEST_F(VersionedDocumentsTest, PeerWithAHigherVersionRenewsTheRead) {
  std::vector<member_id> members;
  for (std::uint64_t value = 1; value <= 300; ++value) members.push_back({value});
  system_.OnMembers(members);
  Deliver(0, "7");
  now_ += seconds(1);
  system_.Tick(now_);
  ON_CALL(log_, Read(_, _)).WillByDefault([&](std::string_view, std::int64_t) {
    Deliver(1, "9");
  });
  system_.OnPeerVersion(kPeer, 9, now_);
  for (const time_point end = now_ + milliseconds(500); now_ < end; now_ += milliseconds(10)) {
    system_.Tick(now_);
  }
  EXPECT_EQ(system_.version(), 9);
}

// Guards against a waiting read whose response was lost while the log was unresponsive. Its
// connection stays open, so a version published afterwards would not take effect within 2 s.
TEST_F(VersionedDocumentsTest, SilentReadDoesNotKeepANewVersionAway) {
  constexpr duration kApplyTime = seconds(2);
  Deliver(0, "7");
  int reads = 0;
  ON_CALL(log_, Read(_, _)).WillByDefault([&](std::string_view, std::int64_t) {
    // The first read gets no response; the log responds to later ones again.
    if (++reads > 1) Deliver(1, "9");
  });
  for (const time_point end = now_ + kApplyTime; now_ < end; now_ += milliseconds(10)) {
    system_.Tick(now_);
  }
  EXPECT_EQ(system_.version(), 9);
}

// Guards against a log line that does not tell a silent read from a version that came late.
TEST_F(VersionedDocumentsTest, MarksARecordThatTheReadBeforeDidNotDeliver) {
  Deliver(0, "7");
  int reads = 0;
  ON_CALL(log_, Read(_, _)).WillByDefault([&](std::string_view, std::int64_t) {
    if (++reads == 2) Deliver(1, "9");
  });
  for (const time_point end = now_ + seconds(2); now_ < end; now_ += milliseconds(10)) {
    system_.Tick(now_);
  }
  const std::vector<folded_record> records = system_.TakeFoldedRecords();
  ASSERT_EQ(records.size(), 2U);
  EXPECT_FALSE(records[0].was_missed);
  EXPECT_TRUE(records[1].was_missed);
}

// Guards against logs that do not tell a version which no peer reported from one that no peer
// supplied.
TEST_F(VersionedDocumentsTest, TellsWhichVersionWasReportedAndNotSupplied) {
  Deliver(0, "7");
  EXPECT_EQ(system_.reported_at(), std::nullopt);
  const time_point reported = now_;
  system_.OnPeerVersion(kPeer, 9, now_);
  for (const time_point end = now_ + seconds(2); now_ < end; now_ += milliseconds(10)) {
    system_.Tick(now_);
    if (system_.counters().fetches > 0) break;
  }
  system_.OnSnapshotFailed(kPeer, now_);
  const std::vector<configuration_event> events = system_.TakeEvents();
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].kind, configuration_event_kind::kNewerVersionReported);
  EXPECT_EQ(events[1].kind, configuration_event_kind::kFetchFailed);
  for (const configuration_event& each : events) {
    EXPECT_EQ(each.peer, kPeer);
    EXPECT_EQ(each.version, 9);
  }
  EXPECT_EQ(system_.counters().failed_fetches, 1U);
  Deliver(1, "9");
  EXPECT_EQ(system_.reported_at(), reported);
}

// Guards against a daemon that cannot read the log and keeps an old version, and against
// returning to an older version from the log after a fetch from a peer.
TEST_F(VersionedDocumentsTest, TakesAHigherVersionFromAPeer) {
  Deliver(0, "7");
  configuration_system other({.environment = "production",
                              .self = kPeer,
                              .seed = 2,
                              .form = configuration_form::kVersionedDocuments,
                              .read_document = Read},
                             log_, peers_);
  other.OnLogRead(
      {.stream = "config.production", .next = 1, .records = {{.offset = 0, .data = "9"}}},
      now_);
  const std::string snapshot = other.SnapshotFor(7);
  ASSERT_FALSE(snapshot.empty());
  system_.OnSnapshot(kPeer, snapshot, now_);
  EXPECT_EQ(system_.version(), 9);
  EXPECT_EQ(system_.source(), "peer");
  EXPECT_TRUE(other.SnapshotFor(9).empty());
  Deliver(1, "8");
  EXPECT_EQ(system_.version(), 9);
}

}  // namespace
}  // namespace bronzeroute
