// Upstreams that are cold: they fail if they get more than 1.5 times the configured rate + 8
// requests in some second.

#include "src/admission/cold_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

using testing::_;
using testing::AnyNumber;

service_spec ColdSpec(double per_second) {
  service_spec spec = OrdersSpec();
  spec.max_slots = 18;
  spec.queue_limit = 40;
  spec.cold_rate_per_s = per_second;
  spec.cold_time = seconds(3);
  return spec;
}

/// Plays 100 requests per second and records when each starts. Every third one is a nested
/// call.
class ColdLoadTest : public testing::TestWithParam<double> {
 protected:
  void SetUp() override {
    EXPECT_CALL(listener_, OnQueuedStarted(_)).WillRepeatedly([this](exchange_id exchange) {
      OnStart(exchange);
    });
    EXPECT_CALL(listener_, OnQueuedRefused(_, _)).Times(AnyNumber());
    Restart();
  }

  /// Replaces the daemon: the next one knows nothing of earlier starts.
  void Restart() {
    running_.clear();
    system_ = std::make_unique<admission_system>(&listener_);
    system_->Configure(ColdSpec(GetParam()), 18, 20, now_);
  }

  void OnStart(exchange_id exchange) {
    const bool is_cold = system_->ColdRate(now_) > 0;
    starts_.push_back(now_);
    if (is_cold) {
      ++cold_starts_;
      const auto first = std::ranges::upper_bound(starts_, now_ - seconds(1));
      EXPECT_LE(static_cast<double>(starts_.end() - first), 1.5 * GetParam() + 8)
          << "at " << (now_ - At({})) / milliseconds(1) << " ms";
    }
    running_.emplace_back(now_ + service_time_, exchange);
  }

  void Play(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += milliseconds(10)) {
      while (!running_.empty() && running_.front().first <= now_) {
        const exchange_id done = running_.front().second;
        running_.pop_front();
        system_->OnUpstreamEnded(
            done, {.result = upstream_result::kCompleted, .service_time = service_time_}, now_);
      }
      system_->Tick(now_);
      attempt_head head = Read(now_ + milliseconds(1000));
      head.objective = now_ + milliseconds(250);
      const exchange_id next{++last_};
      if (next.value % 3 == 0) head.depth = 1;
      if (system_->Submit(next, head, now_).state == submit_state::kStarted) OnStart(next);
    }
  }

  testing::StrictMock<mock_queue_listener> listener_;
  time_point now_ = At({});
  duration service_time_ = milliseconds(20);
  std::unique_ptr<admission_system> system_;
  std::vector<time_point> starts_;
  std::size_t cold_starts_ = 0;
  std::deque<std::pair<time_point, exchange_id>> running_;
  std::uint64_t last_ = 0;
};

// Guards against a burst when an upstream becomes cold while it gets its full load, when its
// daemon restarts, and against a limit that leaves the upstream idle or outlives the cold time.
TEST_P(ColdLoadTest, StartsStayBelowTheTolerance) {
  system_->SetWarmAt(now_, now_);
  Play(seconds(3));
  EXPECT_GT(starts_.size(), 250U);
  system_->SetWarmAt(now_ + milliseconds(2400), now_);
  Play(milliseconds(2400));
  // After a second for the starts from before, the limit is used.
  EXPECT_GE(static_cast<double>(cold_starts_), 0.9 * std::min(GetParam(), 100.0) * 1.4 - 1);
  const std::size_t before = starts_.size();
  Play(seconds(1));
  EXPECT_GT(starts_.size() - before, 90U);
  system_->SetWarmAt(now_ + milliseconds(1500), now_);
  Play(milliseconds(1200));
  Restart();
  system_->SetWarmAt(now_ + milliseconds(2000), now_);
  Play(milliseconds(1500));
  system_->AssumeCold(now_);
  Play(milliseconds(4000));
  EXPECT_GT(system_->ColdRate(now_), 0);
  system_->SetWarmAt(now_, now_);
  EXPECT_EQ(system_->ColdRate(now_), 0);
}

// Guards against an upstream that stalls and then gets all running requests together with the
// next ones.
TEST_P(ColdLoadTest, RequestsAtAStalledUpstreamLeaveRoomForTheNext) {
  system_->AssumeCold(now_);
  system_->SetWarmAt(now_ + seconds(60), now_);
  service_time_ = seconds(100);
  Play(seconds(10));
  const double burst = std::max(1.0, 0.25 * GetParam());
  EXPECT_LE(static_cast<double>(running_.size()) + GetParam() + burst, 1.5 * GetParam() + 8);
  EXPECT_GE(running_.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rates, ColdLoadTest, testing::Values(0.6, 3.0, 7.5, 14.0, 40.0));

class ColdLimitTest : public admission_fixture {
 protected:
  void SetUp() override {
    EXPECT_CALL(listener_, OnQueuedStarted(_)).Times(AnyNumber());
    system_.Configure(ColdSpec(4), 18, 20, At({}));
  }
};

// Guards against a new incarnation that is treated as warm until its announcement arrives.
TEST_F(ColdLimitTest, ANewIncarnationIsColdUntilItsAnnouncement) {
  EXPECT_EQ(system_.ColdRate(At({})), 4);
  system_.SetWarmAt(At({}), At({}));
  EXPECT_EQ(system_.ColdRate(At(seconds(1))), 0);
  system_.OnUpstreamReplaced(At(seconds(2)));
  EXPECT_EQ(system_.ColdRate(At(seconds(20))), 4);
  system_.SetWarmAt(At(seconds(20)), At(seconds(20)));
  EXPECT_EQ(system_.ColdRate(At(seconds(20))), 0);
}

// Guards against an upstream without statements that stays limited for ever.
TEST_F(ColdLimitTest, WithoutStatementsTheConfiguredTimeCounts) {
  EXPECT_EQ(system_.ColdRate(At(milliseconds(2999))), 4);
  EXPECT_EQ(system_.ColdRate(At(seconds(3))), 0);
}

// Guards against the end of the limit by an old announcement: the cold time goes on without
// traffic, and a delayed announcement would tell so.
TEST_F(ColdLimitTest, ALateAnnouncementDoesNotEndTheLimitEarly) {
  system_.SetWarmAt(At(seconds(3)), At({}));
  EXPECT_EQ(system_.ColdRate(At(seconds(4))), 4);
  system_.SetWarmAt(At(seconds(6)), At(seconds(4)));
  EXPECT_EQ(system_.ColdRate(At(milliseconds(5999))), 4);
  EXPECT_EQ(system_.ColdRate(At(seconds(6))), 0);
}

// Guards against entries that send work to a cold upstream because the hint holds the larger of
// its two limits.
TEST_F(ColdLimitTest, TheHintHoldsTheSmallerLimit) {
  system_.SetWarmAt(At(seconds(2)), At({}));
  EXPECT_FLOAT_EQ(system_.Hint(At({})).max_rate, 4);
  EXPECT_EQ(system_.Hint(At({})).start_wait_us, 250'000U);
  system_.SetMaxRate(10, At({}));
  EXPECT_FLOAT_EQ(system_.Hint(At({})).max_rate, 4);
  system_.SetMaxRate(2, At({}));
  EXPECT_FLOAT_EQ(system_.Hint(At({})).max_rate, 2);
  EXPECT_FLOAT_EQ(system_.Hint(At(seconds(2))).max_rate, 2);
  system_.EndMaxRate(At(milliseconds(1)), At(milliseconds(2)));
  EXPECT_FLOAT_EQ(system_.Hint(At(milliseconds(2))).max_rate, 4);
  EXPECT_FLOAT_EQ(system_.Hint(At(seconds(2))).max_rate, 0);
}

// Guards against a cold upstream that takes a limit of its own and gets the larger of the two
// rates.
TEST_F(ColdLimitTest, BothLimitsApplyTogether) {
  system_.SetWarmAt(At(seconds(2)), At({}));
  system_.SetMaxRate(100, At({}));
  EXPECT_FALSE(system_.RateAllowsStart(At(milliseconds(240))));
  EXPECT_TRUE(system_.RateAllowsStart(At(milliseconds(260))));
  system_.SetMaxRate(1, At({}));
  EXPECT_FALSE(system_.RateAllowsStart(At(milliseconds(260))));
}

// Guards against queued work that waits for a turn which the limit no longer leaves it, and
// against work held back that no metric shows.
TEST_F(ColdLimitTest, WorkWithoutATurnIsRefusedWhenTheLimitBegins) {
  system_.SetWarmAt(At({}), At({}));
  Observe("/orders/read", milliseconds(20), 10);
  Fill(1, 18);
  EXPECT_EQ(Submit(21, Read(At(milliseconds(900)))).state, submit_state::kQueued);
  EXPECT_EQ(system_.held_by_cold_limit(), 0U);
  EXPECT_CALL(listener_, OnQueuedRefused(exchange_id{21}, error_kind::kOverloaded));
  system_.SetWarmAt(At(seconds(2)), At({}));
  EXPECT_EQ(Submit(22, Read(At(milliseconds(900)))).kind, error_kind::kDeadlineTooShort);
  EXPECT_EQ(system_.held_by_cold_limit(), 1U);
}

}  // namespace
}  // namespace bronzeroute
