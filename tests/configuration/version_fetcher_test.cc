#include "src/configuration/version_fetcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "tests/configuration/mock_configuration_peers.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;
using tests::mock_configuration_peers;

constexpr std::int64_t kKnown = 7;
constexpr member_id kPeer{2};
constexpr member_id kOtherPeer{3};

class VersionFetcherTest : public testing::Test {
 protected:
  VersionFetcherTest() {
    ON_CALL(peers_, FetchSnapshot(_, _)).WillByDefault([this](member_id peer, std::int64_t) {
      asked_.push_back(peer);
    });
  }
  void Run(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += milliseconds(10)) {
      fetcher_.Tick(kKnown, now_);
    }
  }
  /// Runs until `count` peers were asked in total; returns how long that took.
  duration RunUntilAsked(std::size_t count) {
    const time_point from = now_;
    while (asked_.size() < count && now_ < from + seconds(10)) Run(milliseconds(10));
    return now_ - from;
  }

  NiceMock<mock_configuration_peers> peers_;
  version_fetcher fetcher_{peers_, 1};
  time_point now_{seconds(100)};
  std::vector<member_id> asked_;
};

// Guards against a peer that does not respond and keeps the version of the others away.
TEST_F(VersionFetcherTest, SilentPeerDoesNotDelayTheNextOne) {
  for (std::uint64_t i = 0; i < 5; ++i) fetcher_.OnPeerVersion({i}, 9, false, now_);
  EXPECT_LE(RunUntilAsked(5), seconds(2));
  EXPECT_EQ(std::set(asked_.begin(), asked_.end()).size(), 5U);
}

// Guards against a grace that is waited for again after a fetch has failed.
TEST_F(VersionFetcherTest, PeerThatFailedIsAskedAgainWithItsNextMessage) {
  fetcher_.OnPeerVersion(kPeer, 9, false, now_);
  const duration first = RunUntilAsked(1);
  fetcher_.OnFailed(kPeer, now_);
  fetcher_.OnPeerVersion(kPeer, 9, false, now_);
  EXPECT_LT(RunUntilAsked(2), first);
  EXPECT_EQ(asked_.size(), 2U);
  EXPECT_EQ(fetcher_.failed_fetches(), 1U);
}

// Guards against a fetch of each version from peers although the log supplies it.
TEST_F(VersionFetcherTest, VersionFromTheLogIsNotFetched) {
  fetcher_.OnPeerVersion(kPeer, 9, false, now_);
  Run(milliseconds(400));
  fetcher_.Drop(9);
  Run(seconds(5));
  EXPECT_TRUE(asked_.empty());
}

// Guards against a fetch of an older version first, and against a version that is not fetched
// since only a peer with a higher one, which does not respond, is asked.
TEST_F(VersionFetcherTest, PeerWithTheHighestVersionIsAskedFirstAndNotAlone) {
  fetcher_.OnPeerVersion(kPeer, 8, true, now_);
  fetcher_.OnPeerVersion(kOtherPeer, 9, true, now_);
  EXPECT_LE(RunUntilAsked(2), seconds(1));
  ASSERT_EQ(asked_.size(), 2U);
  EXPECT_EQ(asked_[0], kOtherPeer);
  EXPECT_EQ(asked_[1], kPeer);
}

// Guards against the load of peers whose version this build cannot read.
TEST_F(VersionFetcherTest, VersionThatNoPeerSuppliesIsAskedForSeldom) {
  ON_CALL(peers_, FetchSnapshot(_, _)).WillByDefault([this](member_id peer, std::int64_t) {
    asked_.push_back(peer);
    fetcher_.OnFailed(peer, now_);
  });
  for (int i = 0; i < 600; ++i) {
    fetcher_.OnPeerVersion(kPeer, 9, false, now_);
    fetcher_.OnPeerVersion(kOtherPeer, 9, false, now_);
    Run(milliseconds(100));
  }
  EXPECT_LE(asked_.size(), 16U + 60 / 2);
}

// Guards against more and more open requests to peers that do not respond.
TEST_F(VersionFetcherTest, OpenFetchesAreBounded) {
  for (int second = 0; second < 10; ++second) {
    for (std::uint64_t i = 0; i < 300; ++i) fetcher_.OnPeerVersion({i}, 9, false, now_);
    Run(seconds(1));
  }
  EXPECT_LE(asked_.size(), 10U * 1000 / 200);
}

}  // namespace
}  // namespace bronzeroute
