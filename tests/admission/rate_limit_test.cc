// Upstreams that name a limit of requests per second.

#include "src/admission/rate_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

using testing::_;
using testing::AnyNumber;

class RateLimitTest : public admission_fixture {
 protected:
  void SetUp() override {
    admission_fixture::SetUp();
    EXPECT_CALL(listener_, OnQueuedStarted(_)).Times(AnyNumber());
  }
};

/// Plays 100 requests per second of 20 ms each for 20 s, and records when each starts.
class LimitedLoadTest : public admission_fixture, public testing::WithParamInterface<double> {
 protected:
  void SetUp() override {
    admission_fixture::SetUp();
    EXPECT_CALL(listener_, OnQueuedStarted(_)).WillRepeatedly([this](exchange_id exchange) {
      OnStart(exchange);
    });
    EXPECT_CALL(listener_, OnQueuedRefused(_, _)).Times(AnyNumber());
  }

  void OnStart(exchange_id exchange) {
    starts_.push_back(now_);
    running_.push_back({now_ + milliseconds(20), exchange});
  }

  void Play() {
    for (int ms = 0; ms < 20'000; ms += 10) {
      now_ = At(milliseconds(ms));
      while (!running_.empty() && running_.front().first <= now_) {
        const exchange_id done = running_.front().second;
        running_.pop_front();
        Complete(done.value, milliseconds(20), now_);
      }
      system_.Tick(now_);
      attempt_head head = Read(now_ + milliseconds(1000));
      head.objective = now_ + milliseconds(250);
      const exchange_id next{static_cast<std::uint64_t>(ms) + 1};
      const submit_result result = Submit(next.value, head, now_);
      if (result.state == submit_state::kStarted) OnStart(next);
    }
  }

  std::size_t MostInWindow(duration window) const {
    std::size_t most = 0;
    for (auto first = starts_.begin(); first != starts_.end(); ++first) {
      const auto end = std::lower_bound(first, starts_.end(), *first + window);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  time_point now_ = At({});
  std::vector<time_point> starts_;
  std::deque<std::pair<time_point, exchange_id>> running_;
};

// Guards against more starts in some 4 s than the limit allows, and against a limit that leaves
// the upstream idle.
TEST_P(LimitedLoadTest, StartsKeepToTheLimitInEveryWindowAndUseIt) {
  const double limit = GetParam();
  system_.SetMaxRate(limit, now_);
  Play();
  const auto most = static_cast<double>(MostInWindow(seconds(4)));
  EXPECT_LE(most, std::ceil(4 * std::max(limit, 0.5) + std::max(1.0, limit / 4)));
  EXPECT_LE(most, 1.5 * 4 * limit + 5);
  EXPECT_GE(static_cast<double>(starts_.size()), 0.9 * 20 * std::min(limit, 100.0));
  EXPECT_GE(starts_.size(), 8U);
}

INSTANTIATE_TEST_SUITE_P(Limits, LimitedLoadTest,
                         testing::Values(0.0, 0.3, 1.0, 3.7, 12.2, 15.5, 60.0, 500.0));

// Guards against work that waits until its deadline although the limit leaves it no turn.
TEST_F(RateLimitTest, WorkThatALowerLimitLeavesNoTurnIsRefusedAtOnce) {
  Observe("/orders/read", milliseconds(20), 30);
  Fill(1, 6);
  for (std::uint64_t id = 11; id <= 14; ++id) {
    EXPECT_EQ(Submit(id, Read(At(milliseconds(900)))).state, submit_state::kQueued);
  }
  // The first two starts come within 0.9 s.
  for (const std::uint64_t id : {13, 14}) {
    EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{id}, error_kind::kOverloaded));
  }
  system_.SetMaxRate(2.5, At({}));
  EXPECT_EQ(Submit(21, Read(At(milliseconds(900)))).kind, error_kind::kDeadlineTooShort);
}

// Guards against a limit that is ended by the response to an earlier request, which another
// connection delivers late.
TEST_F(RateLimitTest, OnlyARequestSentAfterTheLimitWasNamedCanEndIt) {
  system_.SetMaxRate(1, At(seconds(1)));
  system_.EndMaxRate(At(milliseconds(900)), At(milliseconds(1100)));
  EXPECT_FALSE(system_.RateAllowsStart(At(milliseconds(1100))));
  system_.EndMaxRate(At(milliseconds(1050)), At(milliseconds(1200)));
  EXPECT_TRUE(system_.RateAllowsStart(At(milliseconds(1200))));
}

// Guards against a limit that outlives its upstream.
TEST_F(RateLimitTest, AReplacedUpstreamHasNoLimit) {
  system_.SetMaxRate(0, At({}));
  EXPECT_FALSE(system_.RateAllowsStart(At(seconds(1))));
  system_.OnUpstreamReplaced(At(seconds(1)));
  EXPECT_TRUE(system_.RateAllowsStart(At(seconds(1))));
}

// Guards against entries that keep sending to an upstream which takes nothing for a while.
TEST_F(RateLimitTest, TheHintTellsWhenTheNextStartIsAllowed) {
  EXPECT_EQ(system_.Hint(At({})).max_rate, 0);
  system_.SetMaxRate(4, At({}));
  const load_hint hint = system_.Hint(At(milliseconds(50)));
  EXPECT_FLOAT_EQ(hint.max_rate, 4);
  EXPECT_EQ(hint.start_wait_us, 200'000U);
}

}  // namespace
}  // namespace bronzeroute
