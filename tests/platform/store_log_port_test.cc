#include "platform/store_log_port.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tests/platform/store_stand_in.h"

namespace bronzeroute::platform {
namespace {

constexpr char kConfiguration[] = "config.production";
constexpr char kMembers[] = "members.production";

class StoreLogPortTest : public testing::Test {
 protected:
  StoreLogPortTest() {
    RunOnLoop([this] {
      port_ = std::make_unique<store_log_port>(
          store_.address(), std::chrono::seconds(20),
          log_listener{[this](const log_read& read) { Note([&] { KeepRead(read); }); },
                       [this](const std::string& stream, const absl::Status&) {
                         Note([&] { failures_.push_back(stream); });
                       },
                       [this](std::uint64_t, const absl::StatusOr<std::int64_t>& offset) {
                         Note([&] { appended_.push_back(offset.value_or(-1)); });
                       }});
    });
  }
  ~StoreLogPortTest() override {
    RunOnLoop([this] { port_ = nullptr; });
  }

  /// The newest records of the operators' topic come with a set of evacuations, which is empty
  /// in most tests.
  void KeepRead(const log_read& read) {
    const bool is_empty_set = read.stream == "evacuations.production" && read.records.empty();
    (is_empty_set ? empty_evacuations_ : reads_).push_back(read);
  }
  void Note(const std::function<void()>& change) {
    const std::lock_guard<std::mutex> lock(mutex_);
    change();
    changed_.notify_all();
  }
  void Await(const std::function<bool()>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    ASSERT_TRUE(changed_.wait_for(lock, std::chrono::seconds(30), condition));
  }
  void Read(const char* stream) {
    RunOnLoop([&] { port_->Read(stream, 0); });
  }

  store_stand_in store_;
  std::unique_ptr<store_log_port> port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<log_read> reads_;
  std::vector<log_read> empty_evacuations_;
  std::vector<std::string> failures_;
  std::vector<std::int64_t> appended_;
  int calls_ = 0;
};

// Guards against a first read that misses earlier records, and against a second read that polls
// instead of waiting for new records.
TEST_F(StoreLogPortTest, ReadsTheNewestRecordsAndThenWaitsForNewOnes) {
  RunOnLoop([&] {
    store_.Put("keyed.op", "config", "old");
    store_.Put("keyed.op", "other", "x");
    store_.Put("keyed.op", "config", "new");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  ASSERT_EQ(reads_[0].records.size(), 1U);
  EXPECT_EQ(reads_[0].records[0].data, "new");
  EXPECT_EQ(reads_[0].next, 3);
  Read(kConfiguration);
  RunOnLoop([&] { store_.Put("keyed.op", "config", "newer"); });
  Await([&] { return reads_.size() == 2; });
  ASSERT_EQ(reads_[1].records.size(), 1U);
  EXPECT_EQ(reads_[1].records[0].data, "newer");
  EXPECT_EQ(store_.calls, 2);
}

// Guards against an evacuation that is not reported, against an end that is missed because it
// came in a deleted history, and against evacuations in the stream of documents.
TEST_F(StoreLogPortTest, DeliversEvacuationsInAStreamOfTheirOwn) {
  RunOnLoop([&] {
    store_.Put("keyed.op", "evacuate/zone-a", "{}");
    store_.Put("keyed.op", "config", "document");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 2; });
  EXPECT_EQ(reads_[0].stream, "evacuations.production");
  EXPECT_TRUE(reads_[0].is_newest_of_each);
  ASSERT_EQ(reads_[0].records.size(), 1U);
  EXPECT_EQ(reads_[0].records[0].key, "zone-a");
  EXPECT_FALSE(reads_[0].records[0].is_removal);
  EXPECT_EQ(reads_[1].stream, kConfiguration);
  ASSERT_EQ(reads_[1].records.size(), 1U);
  Read(kConfiguration);
  RunOnLoop([&] { store_.Put("keyed.op", "evacuate/zone-b", "{}"); });
  Await([&] { return reads_.size() == 4; });
  ASSERT_EQ(reads_[2].records.size(), 1U);
  EXPECT_EQ(reads_[2].records[0].key, "zone-b");
  EXPECT_TRUE(reads_[3].records.empty());
  RunOnLoop([&] {
    store_.Put("keyed.op", "evacuate/zone-b", "");
    store_.Put("keyed.op", "evacuate/zone-a", "");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 6; });
  ASSERT_EQ(reads_[4].records.size(), 2U);
  EXPECT_TRUE(reads_[4].records[0].is_removal);
  EXPECT_EQ(reads_[4].records[1].key, "zone-a");
}

// Guards against an evacuation that a peer told of and that outlives the newest records, which
// hold none, and against changes without one that are reported as a whole set.
TEST_F(StoreLogPortTest, NewestRecordsWithoutAnEvacuationAreTheWholeSet) {
  RunOnLoop([&] { store_.Put("keyed.op", "config", "document"); });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  ASSERT_EQ(empty_evacuations_.size(), 1U);
  EXPECT_TRUE(empty_evacuations_[0].is_newest_of_each);
  EXPECT_EQ(empty_evacuations_[0].next, 1);
  Read(kConfiguration);
  RunOnLoop([&] { store_.Put("keyed.op", "config", "newer"); });
  Await([&] { return reads_.size() == 2; });
  EXPECT_EQ(empty_evacuations_.size(), 1U);
}

// Guards against ignoring records after the first page.
TEST_F(StoreLogPortTest, ReadsAllPagesOfNewestRecords) {
  RunOnLoop([&] {
    store_.page_items = 2;
    for (const std::string key : {"a", "b", "c", "d", "e"}) {
      store_.Put("keyed.members", key, "row " + key);
    }
  });
  Read(kMembers);
  Await([&] { return reads_.size() == 1; });
  ASSERT_EQ(reads_[0].records.size(), 5U);
  EXPECT_EQ(reads_[0].records[4].data, "row e");
}

// Guards against a reader that gets no more records after the store deleted its history.
TEST_F(StoreLogPortTest, ReadsTheNewestRecordsAgainAfterTheHistoryIsDeleted) {
  RunOnLoop([&] { store_.Put("keyed.members", "a", "first"); });
  Read(kMembers);
  Await([&] { return reads_.size() == 1; });
  RunOnLoop([&] {
    store_.Put("keyed.members", "b", "second");
    store_.Compact("keyed.members");
  });
  Read(kMembers);
  Await([&] { return reads_.size() == 2; });
  EXPECT_EQ(reads_[1].records.size(), 2U);
}

// Guards against a waiting read that keeps new records away because its connection has gone
// silent, and against a new read on such a connection.
TEST_F(StoreLogPortTest, ReadReplacesAWaitingReadOnASilentConnection) {
  RunOnLoop([&] { store_.Put("keyed.op", "config", "old"); });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  RunOnLoop([&] {
    store_.on_call = [this] { Note([&] { ++calls_; }); };
    port_->Read(kConfiguration, 0);
  });
  Await([&] { return calls_ == 1; });
  RunOnLoop([&] {
    store_.SilenceConnections();
    store_.Put("keyed.op", "config", "new");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 2; });
  ASSERT_EQ(reads_[1].records.size(), 1U);
  EXPECT_EQ(reads_[1].records[0].data, "new");
  EXPECT_TRUE(failures_.empty());
}

// Guards against reporting success after a refusal or a lost response.
TEST_F(StoreLogPortTest, ReportsRefusalsAndLostResponses) {
  RunOnLoop([&] { store_.refuse_with = 429; });
  Read(kMembers);
  Await([&] { return failures_.size() == 1; });
  RunOnLoop([&] { port_->Append(kMembers, "me", "row", 1); });
  Await([&] { return appended_.size() == 1; });
  EXPECT_EQ(appended_[0], -1);
  RunOnLoop([&] {
    store_.refuse_with.reset();
    store_.loses_responses = true;
    port_->Append(kMembers, "me", "row", 2);
  });
  // The tick passes a time one hour ahead, at which every open call has timed out.
  RunOnLoop([&] { port_->Tick(MonotonicNow() + std::chrono::hours(1)); });
  Await([&] { return appended_.size() == 2; });
  EXPECT_EQ(appended_[1], -1);
}

TEST_F(StoreLogPortTest, AppendsARecordUnderItsKey) {
  RunOnLoop([&] { port_->Append(kMembers, "me", std::string("\0row", 4), 1); });
  Await([&] { return appended_.size() == 1; });
  EXPECT_EQ(appended_[0], 0);
  Read(kMembers);
  Await([&] { return reads_.size() == 1; });
  ASSERT_EQ(reads_[0].records.size(), 1U);
  EXPECT_EQ(reads_[0].records[0].data, std::string("\0row", 4));
}

// Guards against a confirmed record that is missed because the store was restored, and as many
// records as were lost were written before the next read.
TEST_F(StoreLogPortTest, RecordBeforeTheOldPositionInARestoredStoreIsRead) {
  RunOnLoop([&] {
    store_.era = 1;
    for (const char* value : {"1", "2", "3"}) store_.Put("keyed.op", "config", value);
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  EXPECT_FALSE(reads_[0].is_restored);
  RunOnLoop([&] { store_.refuse_with = 503; });
  Read(kConfiguration);
  Await([&] { return failures_.size() == 1; });
  RunOnLoop([&] {
    store_.Restore(1);
    store_.refuse_with.reset();
    store_.Put("keyed.op", "config", "3");
    store_.Put("keyed.op", "config", "4");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 2; });
  ASSERT_EQ(reads_[1].records.size(), 1U);
  EXPECT_EQ(reads_[1].records[0].data, "4");
  EXPECT_TRUE(reads_[1].is_restored);
  EXPECT_TRUE(reads_[1].is_newest_of_each);
  Read(kConfiguration);
  RunOnLoop([&] { store_.Put("keyed.op", "config", "5"); });
  Await([&] { return reads_.size() == 3; });
  EXPECT_EQ(reads_[2].records[0].data, "5");
  EXPECT_FALSE(reads_[2].is_restored);
}

// Guards against records of other keys that are missed because a read in the new history
// continues at the old position.
TEST_F(StoreLogPortTest, AllKeysOfARestoredStoreAreRead) {
  RunOnLoop([&] {
    store_.era = 7;
    store_.Put("keyed.members", "a", "1");
    store_.Put("keyed.members", "b", "1");
  });
  Read(kMembers);
  Await([&] { return reads_.size() == 1; });
  RunOnLoop([&] {
    store_.Restore(0);
    for (const char* key : {"c", "d", "e"}) store_.Put("keyed.members", key, "1");
  });
  Read(kMembers);
  Await([&] { return reads_.size() == 2; });
  EXPECT_EQ(reads_[1].records.size(), 3U);
  EXPECT_TRUE(reads_[1].is_newest_of_each);
}

// Guards against a read that waits in the new history of a restored store although the response
// to another call has named the new era.
TEST_F(StoreLogPortTest, NewEraInAnyResponseEndsTheWaitingReadsOfAllStreams) {
  RunOnLoop([&] {
    store_.era = 1;
    store_.Put("keyed.op", "config", "1");
    store_.Put("keyed.op", "config", "2");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  RunOnLoop([&] {
    store_.Restore(0);
    store_.Put("keyed.op", "config", "2");
    store_.Put("keyed.op", "config", "3");
  });
  Read(kConfiguration);
  RunOnLoop([&] { port_->Append(kMembers, "a", "1", 1); });
  Await([&] { return reads_.size() == 2; });
  ASSERT_EQ(reads_[1].records.size(), 1U);
  EXPECT_EQ(reads_[1].records[0].data, "3");
}

// Guards against a position that goes back to an era that has ended, by a response that was
// held up.
TEST_F(StoreLogPortTest, ResponseOfAnEarlierEraIsAFailedRead) {
  RunOnLoop([&] {
    store_.era = 2;
    store_.Put("keyed.op", "config", "1");
  });
  Read(kConfiguration);
  Await([&] { return reads_.size() == 1; });
  RunOnLoop([&] {
    store_.era = 1;
    store_.Put("keyed.op", "config", "0");
  });
  Read(kConfiguration);
  Await([&] { return failures_.size() == 1; });
  EXPECT_EQ(reads_.size(), 1U);
}

}  // namespace
}  // namespace bronzeroute::platform
