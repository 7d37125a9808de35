#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <iterator>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/calls/attempt_head.h"
#include "tests/admission/admission_fixture.h"

namespace bronzeroute {
namespace {

/// Model of the state visible outside the admission system: the requests that run at the
/// upstream and those that were reported as queued.
class gate_oracle : public queue_listener {
 public:
  struct request {
    time_point deadline;
    bool is_long = false;
  };

  void OnQueuedStarted(exchange_id exchange) override {
    RC_ASSERT(queued_.contains(exchange.value));
    RC_ASSERT(queued_[exchange.value].deadline > now_);
    Started(exchange, queued_[exchange.value].is_long);
    queued_.erase(exchange.value);
  }

  void OnQueuedRefused(exchange_id exchange, error_kind kind) override {
    RC_ASSERT(kind != error_kind::kNone);
    RC_ASSERT(queued_.erase(exchange.value) == 1U);
  }

  void Started(exchange_id exchange, bool is_long) {
    RC_ASSERT(ever_started_.insert(exchange.value).second);
    running_.emplace(exchange.value, is_long);
  }

  std::uint32_t RunningLong() const {
    std::uint32_t count = 0;
    for (const auto& [exchange, is_long] : running_) count += is_long ? 1 : 0;
    return count;
  }

  time_point now_;
  std::map<std::uint64_t, request> queued_;
  std::map<std::uint64_t, bool> running_;
  std::set<std::uint64_t> ever_started_;
};

struct step {
  std::uint32_t kind = 0;
  std::uint32_t value = 0;
};

void showValue(const step& action, std::ostream& out) {
  out << action.kind << ':' << action.value;
}

class gate_model {
 public:
  explicit gate_model(const service_spec& spec) : spec_(spec) {
    system_.Configure(spec_, 6, 20, Now());
  }

  void Run(const step& action) {
    switch (action.kind) {
      case 0:
      case 1:
      case 2:
      case 3:
        Submit(action.value);
        break;
      case 4:
      case 5:
        End(action.value);
        break;
      case 6:
        Cancel(action.value);
        break;
      case 7:
        oracle_.now_ += duration(action.value % 30'000);
        system_.Tick(Now());
        break;
      case 8:
        RareEvent(action.value);
        break;
      default:
        break;
    }
    Check();
  }

  /// Ends running work until none is left, and checks that every queued request was started or
  /// refused.
  void Finish() {
    for (int round = 0; round < 200 && !oracle_.running_.empty(); ++round) {
      oracle_.now_ += milliseconds(10);
      const exchange_id exchange{oracle_.running_.begin()->first};
      oracle_.running_.erase(exchange.value);
      system_.OnUpstreamEnded(exchange, {}, Now());
      Check();
    }
    oracle_.now_ += seconds(100);
    system_.Tick(Now());
    RC_ASSERT(oracle_.queued_.empty());
    RC_ASSERT(system_.running() == 0U);
  }

 private:
  time_point Now() const { return oracle_.now_; }

  void Submit(std::uint32_t value) {
    const bool is_long = value % 3 == 0;
    const time_point deadline = Now() + duration(value % 100'000);
    // Some exchanges are submitted a second time.
    const exchange_id exchange{value % 17 == 0 && next_ > 1 ? 1 + value % next_ : next_++};
    const bool known =
        oracle_.running_.contains(exchange.value) || oracle_.queued_.contains(exchange.value);
    if (!known && oracle_.ever_started_.contains(exchange.value)) return;
    attempt_head head = is_long ? Photos(deadline) : Read(deadline);
    head.is_protected = value % 5 == 0;
    if (value % 7 != 0) head.account = std::to_string(value % 7 - 1);
    head.account_priority = value / 7 % 2;
    head.priority = value / 14 % 2;
    head.depth = value / 28 % 5 == 0 ? 1 : 0;
    const bool ejected = system_.health(Now()) != ejection_state::kClear;
    const submit_result result = system_.Submit(exchange, head, Now());
    if (known) RC_ASSERT(result.kind == error_kind::kDuplicateAttempt);
    switch (result.state) {
      case submit_state::kStarted:
        RC_ASSERT(deadline > Now());
        RC_ASSERT(!ejected || !head.is_protected);
        oracle_.Started(exchange, is_long);
        break;
      case submit_state::kQueued:
        RC_ASSERT(!ejected);
        oracle_.queued_[exchange.value] = {.deadline = deadline, .is_long = is_long};
        break;
      case submit_state::kRefused:
        RC_ASSERT(result.kind != error_kind::kNone);
        break;
    }
  }

  void End(std::uint32_t value) {
    if (oracle_.running_.empty()) return;
    auto row = oracle_.running_.begin();
    std::advance(row, value % oracle_.running_.size());
    const exchange_id exchange{row->first};
    oracle_.running_.erase(row);
    const auto result = value % 4 == 0   ? upstream_result::kFailed
                        : value % 9 == 0 ? upstream_result::kCancelled
                                         : upstream_result::kCompleted;
    system_.OnUpstreamEnded(
        exchange, {.result = result, .service_time = duration(value % 20'000)}, Now());
    // A second report of the same end must change nothing.
    system_.OnUpstreamEnded(exchange, {}, Now());
  }

  void Cancel(std::uint32_t value) {
    const exchange_id exchange{1 + value % next_};
    const cancel_result result = system_.Cancel(exchange, Now());
    const bool was_queued = oracle_.queued_.erase(exchange.value) == 1;
    RC_ASSERT((result == cancel_result::kRemovedFromQueue) == was_queued);
    RC_ASSERT((result == cancel_result::kRunning) == oracle_.running_.contains(exchange.value));
  }

  void RareEvent(std::uint32_t value) {
    if (value % 20 >= 15) {
      std::vector<account_spec> accounts(value / 20 % 4);
      for (std::size_t i = 0; i < accounts.size(); ++i) {
        accounts[i].name = std::to_string(i);
        accounts[i].rate_per_s = static_cast<double>(i * i);
      }
      system_.SetAccounts(accounts);
    } else if (value % 4 == 0) {
      system_.OnFreeze(Now());
      RC_ASSERT(oracle_.queued_.empty());
    } else if (value % 4 == 1) {
      system_.Drain(Now());
      RC_ASSERT(oracle_.queued_.empty());
    } else if (value % 4 == 2) {
      system_.OnUpstreamReplaced(Now());
    } else {
      spec_.long_share = (value % 100) / 100.0;
      connections_ = value % 23;
      system_.Configure(spec_, value % 8, connections_, Now());
    }
  }

  void Check() {
    RC_ASSERT(system_.running() == oracle_.running_.size());
    RC_ASSERT(system_.queued() == oracle_.queued_.size());
    RC_ASSERT(system_.running_long() == oracle_.RunningLong());
    for (const auto& [exchange, row] : oracle_.queued_) RC_ASSERT(row.deadline > Now());
    // Lowered limits let running work finish, but nothing may start above them.
    if (oracle_.ever_started_.size() > started_before_) {
      RC_ASSERT(oracle_.running_.size() <= system_.EffectiveSlots(Now()));
      RC_ASSERT(oracle_.running_.size() <= connections_);
      const bool had_long = oracle_.RunningLong() > long_before_;
      if (had_long) RC_ASSERT(oracle_.RunningLong() <= system_.LongLimit(Now()));
    }
    started_before_ = oracle_.ever_started_.size();
    long_before_ = oracle_.RunningLong();
  }

  service_spec spec_;
  gate_oracle oracle_;
  admission_system system_{&oracle_};
  std::uint64_t next_ = 1;
  std::size_t connections_ = 20;
  std::size_t started_before_ = 0;
  std::uint32_t long_before_ = 0;
};

// Guards against limits exceeded, work queued past its deadline, work started twice, lost queue
// entries and a long share not kept, under any order of events.
TEST(AdmissionProperty, LimitsHoldAndNothingIsLostOrStartedTwice) {
  EXPECT_TRUE(rc::check("admission gate", [] {
    const auto any_step =
        rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::inRange(0U, 9U)),
                             rc::gen::set(&step::value, rc::gen::inRange(0U, 1'000'000U)));
    service_spec spec = OrdersSpec();
    spec.warmup = *rc::gen::element(duration(0), duration(300'000));
    gate_model model(spec);
    const auto steps = *rc::gen::scale(4, rc::gen::container<std::vector<step>>(any_step));
    for (const step& action : steps) model.Run(action);
    model.Finish();
  }));
}

}  // namespace
}  // namespace bronzeroute
