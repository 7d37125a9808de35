// Compares the order of an owner's queue in a simulation on a virtual clock: one upstream and
// accounts whose rates differ by a factor of 100. Either one account sends 7 times its usual
// rate for 6 s, or a part of the slots is gone for 6 s. All policies run with the same calls:
// first come first served, earliest deadline first and round robin by account, which drop work
// that can no longer be in time when they come to it, and the admission system.
// Usage: fair_share_bench [SEED]

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/calls/attempt_head.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAccounts = 40;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kQueueLimit = 200;
constexpr double kMeanServiceMs = 40;
// Usual demand as a share of the capacity.
constexpr double kUsualLoad = 0.8;
// Usual demand of an account is 1/1.6 of its cap.
constexpr double kCapShare = 1.6;
constexpr double kBurstFactor = 7;
constexpr duration kBurstStart = seconds(4);
constexpr duration kBurstEnd = seconds(10);
constexpr duration kRunTime = seconds(14);
constexpr duration kTick = milliseconds(10);
constexpr std::uint32_t kSlotsLeft = 5;

struct call {
  time_point arrival;
  std::size_t account = 0;
  duration service_time{};
  time_point objective;
};

struct account_result {
  std::uint64_t served = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;

  double InTime() const {
    const std::uint64_t all = served + late + refused;
    return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
  }
};
using results = std::array<account_result, kAccounts>;

struct scenario {
  std::string_view name;
  /// Account that sends more; none if it is `kAccounts`.
  std::size_t bursting = kAccounts;
  bool loses_slots = false;
};

std::vector<double> Rates() {
  std::vector<double> rates;
  double total = 0;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    rates.push_back(std::pow(100.0, static_cast<double>(i) / (kAccounts - 1)));
    total += rates.back();
  }
  const double per_second = kUsualLoad * kSlots * 1000 / kMeanServiceMs;
  for (double& rate : rates) rate *= per_second / total;
  return rates;
}

std::vector<call> Calls(const scenario& chosen, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<call> calls;
  const std::vector<double> rates = Rates();
  std::lognormal_distribution<double> service(std::log(kMeanServiceMs) - 0.125, 0.5);
  for (std::size_t i = 0; i < kAccounts; ++i) {
    // Thinned arrivals at the highest rate.
    std::exponential_distribution<double> gap(rates[i] * kBurstFactor);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (double at = gap(random); at < 14; at += gap(random)) {
      const duration since(static_cast<duration::rep>(at * 1e6));
      const bool bursts = i == chosen.bursting && since >= kBurstStart && since < kBurstEnd;
      if (uniform(random) > (bursts ? 1 : 1 / kBurstFactor)) continue;
      const time_point arrival = time_point{} + seconds(100) + since;
      calls.push_back(
          {.arrival = arrival,
           .account = i,
           .service_time = duration(static_cast<duration::rep>(service(random) * 1000)),
           .objective = arrival + (i % 2 == 0 ? milliseconds(300) : milliseconds(1000))});
    }
  }
  std::ranges::sort(calls, {}, &call::arrival);
  return calls;
}

/// Runs the calls of a scenario. A policy decides which of them start and when.
class simulation {
 public:
  simulation(const scenario& chosen, const std::vector<call>& calls)
      : chosen_(chosen), calls_(calls) {}

  time_point now() const { return now_; }
  const call& at(std::size_t index) const { return calls_[index]; }
  std::uint32_t Slots() const {
    const duration since = now_ - time_point{} - seconds(100);
    const bool is_lost = chosen_.loses_slots && since >= kBurstStart && since < kBurstEnd;
    return is_lost ? kSlotsLeft : kSlots;
  }
  void Start(std::size_t index) {
    ++running_;
    ends_.push({now_ + calls_[index].service_time, index});
  }
  void Refuse(std::size_t index) { ++results_[calls_[index].account].refused; }
  bool HasSlot() const { return running_ < Slots(); }

  template <typename Policy>
  results Run(Policy& policy) {
    const time_point end = time_point{} + seconds(100) + kRunTime;
    std::size_t next = 0;
    time_point tick = time_point{} + seconds(100);
    while (next < calls_.size() || !ends_.empty() || tick < end) {
      const time_point arrival =
          next < calls_.size() ? calls_[next].arrival : time_point::max();
      const time_point done = ends_.empty() ? time_point::max() : ends_.top().first;
      now_ = std::min({arrival, done, tick});
      if (done == now_) {
        const std::size_t index = ends_.top().second;
        ends_.pop();
        --running_;
        account_result& result = results_[calls_[index].account];
        ++(now_ <= calls_[index].objective ? result.served : result.late);
        policy.OnEnd(index);
      } else if (arrival == now_) {
        policy.OnCall(next++);
      } else {
        tick += kTick;
        policy.OnTick();
      }
    }
    return results_;
  }

 private:
  const scenario& chosen_;
  const std::vector<call>& calls_;
  time_point now_;
  std::uint32_t running_ = 0;
  std::priority_queue<std::pair<time_point, std::size_t>,
                      std::vector<std::pair<time_point, std::size_t>>, std::greater<>>
      ends_;
  results results_;
};

/// A queue whose next call `Pick` selects.
class baseline_policy {
 public:
  explicit baseline_policy(simulation& world) : world_(world) {}
  virtual ~baseline_policy() = default;

  void OnCall(std::size_t index) {
    if (waiting_.size() >= kQueueLimit) {
      world_.Refuse(index);
      return;
    }
    waiting_.push_back(index);
    StartNext();
  }
  void OnEnd(std::size_t /*index*/) { StartNext(); }
  void OnTick() { StartNext(); }

 protected:
  virtual std::size_t Pick(const std::vector<std::size_t>& waiting) = 0;

  simulation& world_;

 private:
  void StartNext() {
    while (!waiting_.empty() && world_.HasSlot()) {
      const std::size_t position = Pick(waiting_);
      const std::size_t index = waiting_[position];
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(position));
      const auto mean = milliseconds(static_cast<std::int64_t>(kMeanServiceMs));
      if (world_.now() + mean > world_.at(index).objective) {
        world_.Refuse(index);
      } else {
        world_.Start(index);
      }
    }
  }

  /// In the order of arrival.
  std::vector<std::size_t> waiting_;
};

class first_come_policy final : public baseline_policy {
 public:
  using baseline_policy::baseline_policy;

 private:
  std::size_t Pick(const std::vector<std::size_t>& /*waiting*/) override { return 0; }
};

class earliest_deadline_policy final : public baseline_policy {
 public:
  using baseline_policy::baseline_policy;

 private:
  std::size_t Pick(const std::vector<std::size_t>& waiting) override {
    const auto found = std::ranges::min_element(
        waiting, {}, [this](std::size_t index) { return world_.at(index).objective; });
    return static_cast<std::size_t>(found - waiting.begin());
  }
};

class round_robin_policy final : public baseline_policy {
 public:
  using baseline_policy::baseline_policy;

 private:
  std::size_t Pick(const std::vector<std::size_t>& waiting) override {
    const auto found = std::ranges::min_element(waiting, {}, [this](std::size_t index) {
      return (world_.at(index).account + kAccounts - next_) % kAccounts;
    });
    next_ = (world_.at(*found).account + 1) % kAccounts;
    return static_cast<std::size_t>(found - waiting.begin());
  }

  std::size_t next_ = 0;
};

class admission_policy final : private queue_listener {
 public:
  explicit admission_policy(simulation& world) : world_(world), system_(this) {
    Configure();
    std::vector<account_spec> accounts(kAccounts);
    const std::vector<double> rates = Rates();
    for (std::size_t i = 0; i < kAccounts; ++i) {
      accounts[i].name = std::to_string(i);
      accounts[i].rate_per_s = rates[i] * kCapShare;
    }
    system_.SetAccounts(accounts);
  }

  void OnCall(std::size_t index) {
    const call& from = world_.at(index);
    attempt_head head;
    head.service = "orders";
    head.method = "GET";
    head.path = "/orders/1";
    head.content_length = 0;
    head.route_id = 1;
    head.account = std::to_string(from.account);
    head.objective = from.objective;
    head.deadline = from.arrival + seconds(2);
    const submit_result result = system_.Submit(exchange_id{index + 1}, head, world_.now());
    if (result.state == submit_state::kStarted) world_.Start(index);
    if (result.state == submit_state::kRefused) world_.Refuse(index);
  }
  void OnEnd(std::size_t index) {
    system_.OnUpstreamEnded(
        exchange_id{index + 1},
        {.result = upstream_result::kCompleted, .service_time = world_.at(index).service_time},
        world_.now());
  }
  void OnTick() {
    if (slots_ != world_.Slots()) Configure();
    system_.Tick(world_.now());
  }

 private:
  void OnQueuedStarted(exchange_id exchange) override { world_.Start(exchange.value - 1); }
  void OnQueuedRefused(exchange_id exchange, error_kind /*kind*/) override {
    world_.Refuse(exchange.value - 1);
  }
  void Configure() {
    slots_ = world_.Slots();
    service_spec spec;
    spec.name = "orders";
    spec.max_slots = slots_;
    spec.max_connections = 100;
    spec.queue_limit = kQueueLimit;
    spec.long_share = 0.5;
    system_.Configure(spec, slots_, 100, world_.now());
  }

  simulation& world_;
  admission_system system_;
  std::uint32_t slots_ = 0;
};

void Print(std::string_view policy, const results& all, std::size_t bursting) {
  account_result others;
  account_result burst;
  std::vector<double> shares;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    account_result& to = i == bursting ? burst : others;
    to.served += all[i].served;
    to.late += all[i].late;
    to.refused += all[i].refused;
    if (i != bursting) shares.push_back(all[i].InTime());
  }
  std::ranges::sort(shares);
  const std::size_t tenth = kAccounts / 10;
  double worst = 0;
  for (std::size_t i = 0; i < tenth; ++i) worst += shares[i] / static_cast<double>(tenth);
  std::printf(
      "  %-20s others %6.2f %% in time (%lu served, %lu late, %lu refused), worst "
      "tenth %6.2f %%; bursting %lu served, %lu late, %lu refused\n",
      std::string(policy).c_str(), 100 * others.InTime(), others.served, others.late,
      others.refused, 100 * worst, burst.served, burst.late, burst.refused);
}

template <typename Policy>
void Compare(std::string_view name, const scenario& chosen, const std::vector<call>& calls) {
  simulation world(chosen, calls);
  Policy policy(world);
  Print(name, world.Run(policy), chosen.bursting);
}

int CompareAll(std::uint64_t seed) {
  const scenario scenarios[] = {{"calm", kAccounts, false},
                                {"the largest account bursts", kAccounts - 1, false},
                                {"a middle account bursts", kAccounts / 2, false},
                                {"5 of 8 slots are left", kAccounts, true},
                                {"largest bursts, 5 of 8 slots", kAccounts - 1, true}};
  for (const scenario& chosen : scenarios) {
    const std::vector<call> calls = Calls(chosen, seed);
    std::printf("%s: %zu calls, seed %lu\n", std::string(chosen.name).c_str(), calls.size(),
                seed);
    Compare<first_come_policy>("first come", chosen, calls);
    Compare<earliest_deadline_policy>("earliest deadline", chosen, calls);
    Compare<round_robin_policy>("round robin", chosen, calls);
    Compare<admission_policy>("shares (admission)", chosen, calls);
  }
  return 0;
}

}  // namespace
}  // namespace bronzeroute

int main(int argc, char** argv) {
  return bronzeroute::CompareAll(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
}
