// Compares choice policies in a simulation on a virtual clock: one service, the entries and
// owners of one deployment, the real admission and routing systems, and workers whose speed
// changes every few milliseconds. All policies are run with the same calls and speed changes.
// Usage: policy_bench [SEED]

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bench/zone_simulation.h"
#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/base/error_response.h"
#include "src/calls/attempt_head.h"
#include "src/membership/member_row.h"
#include "src/routing/hint_rate_limiter.h"
#include "src/routing/policy_even_zones.h"
#include "src/routing/policy_home_zone.h"
#include "src/routing/policy_least_reported.h"
#include "src/routing/policy_random.h"
#include "src/routing/policy_round_robin.h"
#include "src/routing/policy_two_choices.h"
#include "src/routing/policy_zone_balance.h"
#include "src/routing/routing_system.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Size of one deployment.
struct deployment_shape {
  std::string_view name;
  std::uint32_t entries = 0;
  std::uint32_t workers = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Processor time of a worker for one load probe.
  duration probe_cost{};
};

constexpr deployment_shape kGelo = {"gelo", 19, 6, 6, 260, milliseconds(6)};
constexpr deployment_shape kSiam = {"siam", 18, 6, 9, 220, milliseconds(0)};

constexpr std::uint32_t kZones = 6;
constexpr std::uint32_t kZonesPerRegion = 2;
constexpr duration kOneWaySameZone{100};
constexpr duration kOneWaySameRegion{1400};
constexpr duration kOneWayOtherRegion{12000};
/// Capacity of the link between two regions: 4,000 Mbit/s.
constexpr double kLinkBytesPerUs = 500;

constexpr double kMeanShortWorkUs = 4000;
constexpr double kShortWorkSigma = 0.6;
constexpr double kMeanLongWorkUs = 400'000;
constexpr double kLongWorkSigma = 0.5;
constexpr std::uint64_t kLongBytes = 8 << 20;
constexpr duration kShortTimeLimit = milliseconds(250);
constexpr duration kLongTimeLimit = seconds(30);

/// Mean time between changes of a worker's speed. Load by other processes on its machine
/// reduces the speed to 50 % or 20 %.
constexpr double kMeanSpeedIntervalUs = 5000;
constexpr double kMeanSpeed = 0.60 * 1.0 + 0.25 * 0.5 + 0.15 * 0.2;

constexpr std::uint64_t kHintBytes = 20;
constexpr duration kLoadReportInterval = milliseconds(100);
constexpr duration kTick = milliseconds(10);
constexpr std::uint32_t kMaxAttempts = 3;
/// Limit of attempts after a refusal, as a share of first attempts.
constexpr double kRetryShare = 0.2;
constexpr double kRetryBurst = 20;

constexpr duration kWarmUp = seconds(1);
constexpr duration kPeakStart = seconds(3);
constexpr duration kPeakRise = milliseconds(500);
constexpr duration kPeakEnd = seconds(6);
constexpr double kPeakFactor = 5;

constexpr duration kFaultStart = seconds(3);
constexpr duration kFaultEnd = seconds(8);
constexpr double kFailedWorkUs = 200;
constexpr double kSlowSpeedFactor = 0.25;

struct scenario {
  /// Rate of short work, as a share of the workers' capacity at their mean speed.
  double load = 0;
  /// Rate of long work, as a share of the same capacity.
  double long_load = 0;
  bool demand_peak = false;
  /// Worker 0 fails each request almost immediately from kFailStart to kFailEnd.
  bool failing = false;
  /// Worker 0 runs at a quarter of its speed from kFailStart to kFailEnd.
  bool slow = false;
  duration length{};
};

/// The load information that the entries of a variant receive from owners.
enum class load_information : std::uint8_t { kNone, kReports, kHints };

struct call {
  time_point arrival;
  time_point deadline;
  std::uint32_t entry = 0;
  bool is_long = false;
  double work_us = 0;
  std::vector<member_id> tried;
  std::uint32_t owner = 0;
  bool is_trial = false;
};

struct call_result {
  time_point arrival;
  duration latency{};
  bool is_long = false;
  bool completed = false;
  bool in_time = false;
  bool failed = false;
  std::uint32_t owner = 0;
};

struct run_result {
  std::vector<call_result> calls;
  /// Bytes of hints and reports within a zone, between zones of a region and between regions.
  std::array<std::uint64_t, 3> measuring_bytes{};
  duration probe_time{};
  std::uint64_t attempts = 0;
  std::uint64_t other_region = 0;
  std::uint64_t billed_bytes = 0;
};

enum class event_kind : std::uint8_t {
  kArrival,
  kAttemptAtOwner,
  kWorkerDone,
  kSpeedShift,
  kResponse,
  kReport,
  kReportAtEntry,
  kTick,
};

struct event {
  time_point at;
  std::uint64_t order = 0;
  event_kind kind = event_kind::kTick;
  std::uint32_t subject = 0;
  std::uint64_t version = 0;
  error_kind error = error_kind::kNone;
  load_hint hint{};

  bool operator>(const event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct running_work {
  std::uint32_t call_index = 0;
  exchange_id exchange;
  double remaining_us = 0;
  time_point started;
  bool fails = false;
};

std::uint32_t ZoneOf(std::uint32_t instance) { return instance % kZones; }
std::uint32_t RegionOf(std::uint32_t instance) { return ZoneOf(instance) / kZonesPerRegion; }

member_id Id(std::uint32_t instance) { return member_id{instance + 1}; }

distance DistanceOf(std::uint32_t a, std::uint32_t b) {
  if (a == b) return distance::kSameInstance;
  if (RegionOf(a) != RegionOf(b)) return distance::kOtherRegion;
  return ZoneOf(a) == ZoneOf(b) ? distance::kSameZone : distance::kSameRegion;
}

duration OneWay(std::uint32_t a, std::uint32_t b) {
  switch (DistanceOf(a, b)) {
    case distance::kSameInstance:
      return duration(0);
    case distance::kSameZone:
      return kOneWaySameZone;
    case distance::kSameRegion:
      return kOneWaySameRegion;
    case distance::kOtherRegion:
      break;
  }
  return kOneWayOtherRegion;
}

/// Baseline that uses locality but no load: a random candidate of the own region, or of all
/// regions if there is none in the own one.
struct policy_random_near {
  static constexpr std::string_view kName = "random_near";
  static constexpr bool kOwnUpstreamFirst = false;

  std::size_t Pick(std::span<const candidate> candidates, const choice_context& /*context*/,
                   choice_random& random) {
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].where != distance::kOtherRegion) near.push_back(i);
    }
    const std::size_t count = near.empty() ? candidates.size() : near.size();
    const auto pick = std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    return near.empty() ? pick : near[pick];
  }
};

/// Simulation of one deployment. Instance i is an entry; instances below `workers` are owners
/// as well.
template <choice_policy Policy>
class simulation {
 public:
  simulation(const deployment_shape& deployment, const scenario& parameters,
             load_information information, std::uint64_t seed)
      : deployment_(deployment),
        scenario_(parameters),
        information_(information),
        short_random_(seed),
        long_random_(seed + 1) {
    spec_.name = "orders";
    spec_.max_slots = deployment.slots;
    spec_.max_connections = deployment.connections;
    spec_.queue_limit = 64;
    spec_.long_share = 0.34;
    spec_.routes = {{.method = "*", .prefix = "/orders/read"},
                    {.method = "*", .prefix = "/orders/photos", .is_long = true}};
    std::vector<member_row> members(deployment.workers);
    for (std::uint32_t i = 0; i < deployment.workers; ++i) {
      members[i].id = Id(i);
      members[i].incarnation = incarnation_id{1};
      members[i].service = spec_.name;
      members[i].region = std::to_string(RegionOf(i));
      members[i].availability_zone = std::to_string(ZoneOf(i));
      owners_.push_back(std::make_unique<owner>(this, seed + 100 + i));
      owners_[i]->admission.Configure(spec_, deployment.slots, deployment.connections,
                                      time_point());
      Push({.at = time_point(), .kind = event_kind::kSpeedShift, .subject = i});
      Push({.at = time_point() + kTick, .kind = event_kind::kTick, .subject = i});
      if (information == load_information::kReports) {
        // The reports of the workers are spread over the interval.
        Push({.at = time_point() + kLoadReportInterval * i / deployment.workers,
              .kind = event_kind::kReport,
              .subject = i});
      }
    }
    for (std::uint32_t i = 0; i < deployment.entries; ++i) {
      entries_.push_back(std::make_unique<entry>(seed + 200 + i));
      entries_[i]->routing.OnMembers(members, Id(i), std::to_string(RegionOf(i)),
                                     std::to_string(ZoneOf(i)), time_point());
    }
    const double capacity = deployment.workers * deployment.slots * kMeanSpeed;
    short_per_us_ = parameters.load * capacity / kMeanShortWorkUs;
    long_per_us_ = parameters.long_load * capacity / kMeanLongWorkUs;
    Push({.at = time_point(), .kind = event_kind::kArrival, .subject = 0});
    Push({.at = time_point(), .kind = event_kind::kArrival, .subject = 1});
  }

  run_result Run() {
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      // Calls that are open at the end of the scenario may still complete.
      if (now_ > time_point() + scenario_.length + kLongTimeLimit) break;
      Handle(next);
      if (now_ > time_point() + scenario_.length && open_calls_ == 0) break;
    }
    return std::move(result_);
  }

 private:
  struct owner : public queue_listener {
    owner(simulation* the_model, std::uint64_t seed) : model(the_model), random(seed) {}
    void OnQueuedStarted(exchange_id exchange) override { model->StartWork(*this, exchange); }
    void OnQueuedRefused(exchange_id exchange, error_kind kind) override {
      model->Respond(CallOf(exchange), kind);
    }

    simulation* model;
    std::mt19937_64 random;
    admission_system admission{this};
    hint_rate_limiter rate_limiter;
    std::vector<running_work> running;
    double speed = 1;
    time_point last_advance;
    std::uint64_t version = 0;
  };

  struct entry {
    explicit entry(std::uint64_t seed) : routing(seed) {}
    routing_system<Policy> routing;
    double retry_tokens = kRetryBurst;
  };

  static std::uint32_t CallOf(exchange_id exchange) {
    return static_cast<std::uint32_t>(exchange.value / (kMaxAttempts + 1));
  }
  exchange_id ExchangeOf(std::uint32_t index) const {
    return exchange_id{std::uint64_t{index} * (kMaxAttempts + 1) + calls_[index].tried.size()};
  }
  owner& OwnerAt(std::uint32_t index) { return *owners_[index]; }
  bool IsPastEnd() const { return now_ > time_point() + scenario_.length; }

  void Push(event item) {
    item.order = ++order_;
    events_.push(item);
  }

  void Handle(const event& item) {
    switch (item.kind) {
      case event_kind::kArrival:
        OnArrival(item.subject == 1);
        break;
      case event_kind::kAttemptAtOwner:
        SubmitAtOwner(item.subject);
        break;
      case event_kind::kWorkerDone:
        if (item.version == OwnerAt(item.subject).version) FinishWork(item.subject);
        break;
      case event_kind::kSpeedShift:
        ShiftSpeed(item.subject);
        break;
      case event_kind::kResponse:
        OnResponse(item);
        break;
      case event_kind::kReport:
        SendReports(item.subject);
        break;
      case event_kind::kReportAtEntry:
        entries_[item.version]->routing.OnHint(Id(item.subject), incarnation_id{1}, item.hint,
                                               now_);
        break;
      case event_kind::kTick:
        OwnerAt(item.subject).admission.Tick(now_);
        if (!IsPastEnd() || open_calls_ > 0) {
          Push({.at = now_ + kTick, .kind = event_kind::kTick, .subject = item.subject});
        }
        break;
    }
  }

  double DemandFactor() const {
    const duration at = now_ - time_point();
    if (!scenario_.demand_peak || at < kPeakStart || at >= kPeakEnd) return 1;
    const double rise =
        static_cast<double>((at - kPeakStart).count()) / static_cast<double>(kPeakRise.count());
    return 1 + (kPeakFactor - 1) * std::min(rise, 1.0);
  }

  void OnArrival(bool is_long) {
    const double rate = is_long ? long_per_us_ : short_per_us_ * DemandFactor();
    if (rate <= 0 || IsPastEnd()) return;
    std::mt19937_64& random = is_long ? long_random_ : short_random_;
    const double gap = std::exponential_distribution<>(rate)(random);
    Push({.at = now_ + duration(static_cast<duration::rep>(gap)),
          .kind = event_kind::kArrival,
          .subject = is_long ? 1U : 0U});
    const double sigma = is_long ? kLongWorkSigma : kShortWorkSigma;
    const double mean = is_long ? kMeanLongWorkUs : kMeanShortWorkUs;
    std::lognormal_distribution<> work(std::log(mean) - sigma * sigma / 2, sigma);
    call item;
    item.arrival = now_;
    item.deadline = now_ + (is_long ? kLongTimeLimit : kShortTimeLimit);
    item.entry =
        std::uniform_int_distribution<std::uint32_t>(0, deployment_.entries - 1)(random);
    item.is_long = is_long;
    item.work_us = work(random);
    calls_.push_back(item);
    ++open_calls_;
    entry& entry_state = *entries_[item.entry];
    entry_state.retry_tokens = std::min(entry_state.retry_tokens + kRetryShare, kRetryBurst);
    SendAttempt(static_cast<std::uint32_t>(calls_.size() - 1));
  }

  void SendAttempt(std::uint32_t index) {
    call& item = calls_[index];
    entry& from = *entries_[item.entry];
    if (information_ == load_information::kHints && item.entry < deployment_.workers) {
      from.routing.OnHint(Id(item.entry), incarnation_id{1},
                          OwnerAt(item.entry).admission.Hint(now_), now_);
    }
    choice_request request;
    request.is_long = item.is_long;
    request.content_length = item.is_long ? kLongBytes : 0;
    request.deadline = item.deadline;
    const choice_result chosen = from.routing.Choose(spec_, request, item.tried, now_);
    if (!chosen.member) {
      EndCall(index, false, false);
      return;
    }
    item.owner = static_cast<std::uint32_t>(chosen.member->value - 1);
    item.is_trial = chosen.is_trial;
    item.tried.push_back(*chosen.member);
    from.routing.OnAttemptSent(*chosen.member, chosen.is_trial, now_);
    ++result_.attempts;
    if (DistanceOf(item.entry, item.owner) == distance::kOtherRegion) ++result_.other_region;
    Push({.at = now_ + OneWay(item.entry, item.owner),
          .kind = event_kind::kAttemptAtOwner,
          .subject = index});
  }

  void SubmitAtOwner(std::uint32_t index) {
    const call& item = calls_[index];
    owner& owner_state = OwnerAt(item.owner);
    attempt_head head;
    head.service = spec_.name;
    head.method = "POST";
    head.path = item.is_long ? "/orders/photos" : "/orders/read";
    head.is_long = item.is_long;
    head.content_length = item.is_long ? kLongBytes : 0;
    head.deadline = item.deadline;
    const submit_result result = owner_state.admission.Submit(ExchangeOf(index), head, now_);
    if (result.state == submit_state::kStarted) StartWork(owner_state, ExchangeOf(index));
    if (result.state == submit_state::kRefused) Respond(index, result.kind);
  }

  void StartWork(owner& owner_state, exchange_id exchange) {
    const std::uint32_t index = CallOf(exchange);
    const call& item = calls_[index];
    double work = item.work_us;
    if (item.is_long && DistanceOf(item.entry, item.owner) == distance::kOtherRegion) {
      work += static_cast<double>(kLongBytes) / kLinkBytesPerUs;
      result_.billed_bytes += kLongBytes;
    }
    const bool fails = scenario_.failing && item.owner == 0 &&
                       now_ >= time_point() + kFaultStart && now_ < time_point() + kFaultEnd;
    if (fails) work = kFailedWorkUs;
    AdvanceWork(owner_state);
    owner_state.running.push_back({.call_index = index,
                                   .exchange = exchange,
                                   .remaining_us = work,
                                   .started = now_,
                                   .fails = fails});
    ScheduleNextCompletion(owner_state, item.owner);
  }

  void AdvanceWork(owner& owner_state) {
    const double done =
        static_cast<double>((now_ - owner_state.last_advance).count()) * owner_state.speed;
    for (running_work& work : owner_state.running) work.remaining_us -= done;
    owner_state.last_advance = now_;
  }

  void ScheduleNextCompletion(owner& owner_state, std::uint32_t subject) {
    ++owner_state.version;
    const auto next =
        std::ranges::min_element(owner_state.running, {}, &running_work::remaining_us);
    if (next == owner_state.running.end()) return;
    const double wait = std::max(next->remaining_us, 0.0) / owner_state.speed;
    Push({.at = now_ + duration(static_cast<duration::rep>(std::ceil(wait))),
          .kind = event_kind::kWorkerDone,
          .subject = subject,
          .version = owner_state.version});
  }

  void FinishWork(std::uint32_t subject) {
    owner& owner_state = OwnerAt(subject);
    AdvanceWork(owner_state);
    const auto done =
        std::ranges::min_element(owner_state.running, {}, &running_work::remaining_us);
    const running_work work = *done;
    owner_state.running.erase(done);
    const auto result = work.fails ? upstream_result::kFailed : upstream_result::kCompleted;
    owner_state.admission.OnUpstreamEnded(
        work.exchange, {.result = result, .service_time = now_ - work.started}, now_);
    ScheduleNextCompletion(owner_state, subject);
    Respond(work.call_index, work.fails ? error_kind::kAnswerLost : error_kind::kNone);
  }

  void ShiftSpeed(std::uint32_t subject) {
    owner& owner_state = OwnerAt(subject);
    AdvanceWork(owner_state);
    const double draw = std::uniform_real_distribution<>(0, 1)(owner_state.random);
    owner_state.speed = draw < 0.6 ? 1 : draw < 0.85 ? 0.5 : 0.2;
    if (scenario_.slow && subject == 0 && now_ >= time_point() + kFaultStart &&
        now_ < time_point() + kFaultEnd) {
      owner_state.speed *= kSlowSpeedFactor;
    }
    ScheduleNextCompletion(owner_state, subject);
    const double length =
        std::exponential_distribution<>(1 / kMeanSpeedIntervalUs)(owner_state.random);
    if (IsPastEnd() && open_calls_ == 0) return;
    Push({.at = now_ + duration(1 + static_cast<duration::rep>(length)),
          .kind = event_kind::kSpeedShift,
          .subject = subject});
  }

  void Respond(std::uint32_t index, error_kind kind) {
    const call& item = calls_[index];
    event response = {.at = now_ + OneWay(item.entry, item.owner),
                      .kind = event_kind::kResponse,
                      .subject = index,
                      .error = kind};
    if (information_ == load_information::kHints) {
      owner& owner_state = OwnerAt(item.owner);
      const load_hint hint = owner_state.admission.Hint(now_);
      if (owner_state.rate_limiter.IsDue(Id(item.entry), hint, kind != error_kind::kNone,
                                         now_)) {
        response.hint = hint;
        CountMeasuringBytes(item.entry, item.owner);
      }
    }
    Push(response);
  }

  void OnResponse(const event& item) {
    const call& row = calls_[item.subject];
    entry& entry_state = *entries_[row.entry];
    const bool refused = item.error != error_kind::kNone;
    if (information_ == load_information::kHints) {
      entry_state.routing.OnHint(Id(row.owner), incarnation_id{1}, item.hint, now_);
    }
    const bool failed = item.error == error_kind::kAnswerLost;
    const auto outcome = failed     ? attempt_end::kFailed
                         : !refused ? attempt_end::kCompleted
                         : item.error == error_kind::kUpstreamEjected
                             ? attempt_end::kRefusedEjected
                             : attempt_end::kRefused;
    entry_state.routing.OnAttemptEnded(Id(row.owner), outcome, row.is_trial, now_);
    const bool may_retry = refused && ErrorResponseFor(item.error).try_elsewhere &&
                           row.tried.size() < kMaxAttempts && entry_state.retry_tokens >= 1 &&
                           now_ < row.deadline;
    if (may_retry) {
      entry_state.retry_tokens -= 1;
      SendAttempt(item.subject);
    } else {
      EndCall(item.subject, !refused, failed);
    }
  }

  void EndCall(std::uint32_t index, bool completed, bool failed) {
    const call& item = calls_[index];
    --open_calls_;
    result_.calls.push_back({.arrival = item.arrival,
                             .latency = now_ - item.arrival,
                             .is_long = item.is_long,
                             .completed = completed,
                             .in_time = completed && now_ <= item.deadline,
                             .failed = failed,
                             .owner = item.owner});
  }

  void SendReports(std::uint32_t subject) {
    result_.probe_time += deployment_.probe_cost;
    const load_hint hint = OwnerAt(subject).admission.Hint(now_);
    for (std::uint32_t i = 0; i < deployment_.entries; ++i) {
      CountMeasuringBytes(i, subject);
      Push({.at = now_ + OneWay(i, subject),
            .kind = event_kind::kReportAtEntry,
            .subject = subject,
            .version = i,
            .hint = hint});
    }
    if (IsPastEnd()) return;
    Push({.at = now_ + kLoadReportInterval, .kind = event_kind::kReport, .subject = subject});
  }

  void CountMeasuringBytes(std::uint32_t a, std::uint32_t b) {
    const distance where = DistanceOf(a, b);
    if (where == distance::kSameInstance) return;
    result_.measuring_bytes[where == distance::kSameZone     ? 0
                            : where == distance::kSameRegion ? 1
                                                             : 2] += kHintBytes;
  }

  deployment_shape deployment_;
  scenario scenario_;
  load_information information_;
  service_spec spec_;
  std::mt19937_64 short_random_;
  std::mt19937_64 long_random_;
  double short_per_us_ = 0;
  double long_per_us_ = 0;
  time_point now_;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<std::unique_ptr<owner>> owners_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<call> calls_;
  std::uint64_t open_calls_ = 0;
  run_result result_;
};

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

/// Latencies in ms of the completed short calls that arrived from `from` until before `to`.
std::vector<double> ShortLatencies(const run_result& run, duration from, duration to) {
  std::vector<double> values;
  for (const call_result& row : run.calls) {
    const duration at = row.arrival - time_point();
    if (row.completed && !row.is_long && at >= from && at < to) {
      values.push_back(static_cast<double>(row.latency.count()) / 1000);
    }
  }
  return values;
}

struct span_counts {
  double offered = 0;
  double in_time = 0;
  double late = 0;
  double refused = 0;
};

span_counts Count(const run_result& run, bool is_long, duration from, duration to) {
  span_counts counts;
  for (const call_result& row : run.calls) {
    const duration at = row.arrival - time_point();
    if (row.is_long != is_long || at < from || at >= to) continue;
    ++counts.offered;
    if (row.in_time) {
      ++counts.in_time;
    } else if (row.completed) {
      ++counts.late;
    } else {
      ++counts.refused;
    }
  }
  return counts;
}

/// Number of short calls that completed in time from `from` until before `to`.
double CompletedInTime(const run_result& run, duration from, duration to) {
  return static_cast<double>(std::ranges::count_if(run.calls, [&](const call_result& row) {
    const duration at = row.arrival + row.latency - time_point();
    return row.in_time && !row.is_long && at >= from && at < to;
  }));
}

/// 99th percentile of the time in ms until a refusal, for short calls that arrived from `from`
/// until before `to`.
double RefusalP99(const run_result& run, duration from, duration to) {
  std::vector<double> values;
  for (const call_result& row : run.calls) {
    const duration at = row.arrival - time_point();
    if (row.completed || row.is_long || at < from || at >= to) continue;
    values.push_back(static_cast<double>(row.latency.count()) / 1000);
  }
  return Percentile(values, 0.99);
}

/// Time in ms from the end of the demand peak to the first of four consecutive windows of 50 ms
/// in which 99 % of the calls are served in time and the p99 is at most 60 ms; -1 if there are
/// none. Even the random policy stays below this p99 without a demand peak.
double RecoveryMs(const run_result& run, duration end) {
  constexpr duration kWindow = milliseconds(50);
  constexpr double kRecoveredP99 = 60;
  int good_windows = 0;
  for (duration from = kPeakEnd; from + kWindow <= end; from += kWindow) {
    std::vector<double> latencies = ShortLatencies(run, from, from + kWindow);
    const span_counts counts = Count(run, false, from, from + kWindow);
    const bool served = counts.in_time >= 0.99 * counts.offered;
    good_windows =
        served && Percentile(latencies, 0.99) <= kRecoveredP99 ? good_windows + 1 : 0;
    if (good_windows == 4) {
      return static_cast<double>((from - 3 * kWindow - kPeakEnd).count()) / 1000;
    }
  }
  return -1;
}

template <choice_policy Policy>
void Report(std::string_view name, const deployment_shape& deployment,
            load_information information, std::uint64_t seed) {
  const auto run = [&](const scenario& parameters) {
    return simulation<Policy>(deployment, parameters, information, seed).Run();
  };
  const scenario steady = {.load = 0.6, .length = seconds(21)};
  const run_result base = run(steady);
  std::vector<double> latencies = ShortLatencies(base, kWarmUp, steady.length);
  const span_counts counts = Count(base, false, kWarmUp, steady.length);
  const double length_s = static_cast<double>(steady.length.count()) / 1e6;
  const auto calls = static_cast<double>(base.calls.size());
  std::printf(
      "%-5s %-18s steady  p50 %6.2f p99 %6.2f p99.9 %7.2f ms  refused %.3f%% late %.3f%%"
      "  attempts/call %.3f  to another region %.1f%%\n",
      deployment.name.data(), name.data(), Percentile(latencies, 0.5),
      Percentile(latencies, 0.99), Percentile(latencies, 0.999),
      100 * counts.refused / counts.offered, 100 * counts.late / counts.offered,
      static_cast<double>(base.attempts) / calls,
      100 * static_cast<double>(base.other_region) / static_cast<double>(base.attempts));
  const auto bytes = [&](std::size_t i) {
    return static_cast<double>(base.measuring_bytes[i]);
  };
  std::printf(
      "%-5s %-18s measure bytes/call zone %.2f zones %.2f regions %.2f"
      "  bytes/s %.0f %.0f %.0f  upstream us/call %.1f ms/s %.1f\n",
      deployment.name.data(), name.data(), bytes(0) / calls, bytes(1) / calls, bytes(2) / calls,
      bytes(0) / length_s, bytes(1) / length_s, bytes(2) / length_s,
      static_cast<double>(base.probe_time.count()) / calls,
      static_cast<double>(base.probe_time.count()) / 1000 / length_s);

  const scenario peak_scenario = {.load = 0.5, .demand_peak = true, .length = seconds(12)};
  const run_result demand_peak = run(peak_scenario);
  const span_counts peak = Count(demand_peak, false, kPeakStart + kPeakRise, kPeakEnd);
  const double peak_s = static_cast<double>((kPeakEnd - kPeakStart - kPeakRise).count()) / 1e6;
  const double good_calls = CompletedInTime(demand_peak, kPeakStart + kPeakRise, kPeakEnd);
  const double capacity =
      deployment.workers * deployment.slots * kMeanSpeed / kMeanShortWorkUs * 1e6;
  std::vector<double> peak_latencies =
      ShortLatencies(demand_peak, kPeakStart + kPeakRise, kPeakEnd);
  std::printf(
      "%-5s %-18s crest   goodput %.0f/s = %.1f%% of capacity  refused %.1f%% late %.2f%%"
      "  p99 %.1f ms  refusal p99 %.1f ms  recovery %.0f ms\n",
      deployment.name.data(), name.data(), good_calls / peak_s,
      100 * good_calls / peak_s / capacity, 100 * peak.refused / peak.offered,
      100 * peak.late / peak.offered, Percentile(peak_latencies, 0.99),
      RefusalP99(demand_peak, kPeakStart + kPeakRise, kPeakEnd),
      RecoveryMs(demand_peak, peak_scenario.length));

  scenario mixed = {.load = 0.5, .length = seconds(21)};
  const run_result without = run(mixed);
  mixed.long_load = 0.1;
  const run_result with = run(mixed);
  std::vector<double> latencies_without = ShortLatencies(without, kWarmUp, mixed.length);
  std::vector<double> latencies_with = ShortLatencies(with, kWarmUp, mixed.length);
  const span_counts uploads = Count(with, true, kWarmUp, mixed.length);
  const double p99_without = Percentile(latencies_without, 0.99);
  const double p99_with = Percentile(latencies_with, 0.99);
  std::printf(
      "%-5s %-18s uploads short p99 %.2f ms without, %.2f with: ratio %.3f"
      "  uploads %.0f refused %.1f%%  billed %.1f MB\n",
      deployment.name.data(), name.data(), p99_without, p99_with, p99_with / p99_without,
      uploads.offered, 100 * uploads.refused / uploads.offered,
      static_cast<double>(with.billed_bytes) / 1e6);
}

template <choice_policy Policy>
void ReportFailing(std::string_view name, const deployment_shape& deployment,
                   load_information information, std::uint64_t seed) {
  const scenario parameters = {.load = 0.5, .failing = true, .length = seconds(12)};
  const run_result run = simulation<Policy>(deployment, parameters, information, seed).Run();
  double first_second = 0;
  double next_four_seconds = 0;
  double offered = 0;
  double recovery_ms = -1;
  for (const call_result& row : run.calls) {
    const duration at = row.arrival - time_point();
    if (row.failed) ++(at < kFaultStart + seconds(1) ? first_second : next_four_seconds);
    if (at >= kFaultStart && at < kFaultEnd) ++offered;
    const duration end = at + row.latency;
    if (row.completed && row.owner == 0 && at >= kFaultEnd && recovery_ms < 0) {
      recovery_ms = static_cast<double>((end - kFaultEnd).count()) / 1000;
    }
  }
  std::printf(
      "%-5s %-18s failing %.0f calls failed in the first second, %.0f in the next four,"
      " of %.0f offered; back after %.0f ms\n",
      deployment.name.data(), name.data(), first_second, next_four_seconds, offered,
      recovery_ms);
}

template <choice_policy Policy>
void ReportSlow(std::string_view name, const deployment_shape& deployment,
                load_information information, std::uint64_t seed) {
  const scenario parameters = {.load = 0.5, .slow = true, .length = seconds(10)};
  const run_result run = simulation<Policy>(deployment, parameters, information, seed).Run();
  std::vector<double> latencies = ShortLatencies(run, kFaultStart, kFaultEnd);
  const span_counts counts = Count(run, false, kFaultStart, kFaultEnd);
  std::printf("%-5s %-18s slow    p50 %6.2f p99 %6.2f p99.9 %7.2f ms  refused %.3f%%\n",
              deployment.name.data(), name.data(), Percentile(latencies, 0.5),
              Percentile(latencies, 0.99), Percentile(latencies, 0.999),
              100 * counts.refused / counts.offered);
}

template <choice_policy Policy>
void ReportZones(const zone_scenario& parameters, std::uint64_t seed) {
  const zone_run_result run = zone_simulation<Policy>(parameters, seed).Run();
  std::printf("zones %-18s %-12s in time %7.3f%% of %llu  cross-zone %6.1f MB\n",
              parameters.name.data(), Policy::kName.data(),
              100 * static_cast<double>(run.in_time) / static_cast<double>(run.offered),
              static_cast<unsigned long long>(run.offered),  // NOLINT
              static_cast<double>(run.cross_zone_bytes) / 1e6);
}

/// Cross-zone routing against the choice by score alone, never leaving the zone, and an even
/// spread over all zones.
void ReportZoneScenarios(std::uint64_t seed) {
  constexpr double kLengthS = 10;
  for (const zone_scenario& each : ZoneScenarios(kLengthS)) {
    ReportZones<policy_zone_balance>(each, seed);
    ReportZones<policy_two_choices>(each, seed);
    ReportZones<policy_home_zone>(each, seed);
    ReportZones<policy_even_zones>(each, seed);
  }
}

/// Wall-clock time of OnMembers and Choose at the target size of 540 members in 43 services.
void ReportScale(std::uint64_t seed) {
  constexpr std::uint32_t kMembers = 540;
  constexpr std::uint32_t kServices = 43;
  constexpr int kRounds = 200'000;
  constexpr int kMemberRounds = 200;
  std::vector<member_row> members(kMembers);
  std::vector<service_spec> specs(kServices);
  for (std::uint32_t i = 0; i < kServices; ++i) specs[i].name = "service" + std::to_string(i);
  for (std::uint32_t i = 0; i < kMembers; ++i) {
    members[i].id = Id(i);
    members[i].service = specs[i % kServices].name;
    members[i].region = std::to_string(RegionOf(i));
    members[i].availability_zone = std::to_string(ZoneOf(i));
    members[i].hint = {.sequence = 1, .effective_slots = 6, .in_use = i % 9};
  }
  routing_system<policy_two_choices> routing(seed);
  using clock = std::chrono::steady_clock;
  const auto microseconds = [](clock::duration span, int rounds) {
    return std::chrono::duration<double, std::micro>(span).count() / rounds;
  };
  const auto start = clock::now();
  for (int i = 0; i < kMemberRounds; ++i) {
    routing.OnMembers(members, Id(0), "0", "0", time_point());
  }
  const auto members_done = clock::now();
  std::uint64_t chosen = 0;
  for (int i = 0; i < kRounds; ++i) {
    const choice_result result =
        routing.Choose(specs[static_cast<std::size_t>(i) % kServices], {}, {}, time_point());
    chosen += result.member ? 1 : 0;
  }
  const auto done = clock::now();
  std::printf(
      "scale: %u members, %u services: OnMembers %.1f us, Choose %.2f us (%llu chosen)\n",
      kMembers, kServices, microseconds(members_done - start, kMemberRounds),
      microseconds(done - members_done, kRounds),
      static_cast<unsigned long long>(chosen));  // NOLINT
}

void ReportDeployment(const deployment_shape& deployment, std::uint64_t seed) {
  Report<policy_two_choices>("product", deployment, load_information::kHints, seed);
  Report<policy_zone_balance>("zone_balance", deployment, load_information::kHints, seed);
  Report<policy_random>("random", deployment, load_information::kNone, seed);
  Report<policy_round_robin>("round_robin", deployment, load_information::kNone, seed);
  Report<policy_least_reported>("least_reported", deployment, load_information::kReports, seed);
  Report<policy_least_reported>("least_with_hints", deployment, load_information::kHints, seed);
  Report<policy_random_near>("random_near", deployment, load_information::kNone, seed);
  ReportSlow<policy_two_choices>("product", deployment, load_information::kHints, seed);
  ReportSlow<policy_zone_balance>("zone_balance", deployment, load_information::kHints, seed);
  ReportSlow<policy_random>("random", deployment, load_information::kNone, seed);
  ReportSlow<policy_round_robin>("round_robin", deployment, load_information::kNone, seed);
  ReportSlow<policy_least_reported>("least_reported", deployment, load_information::kReports,
                                    seed);
  ReportSlow<policy_random_near>("random_near", deployment, load_information::kNone, seed);
  ReportFailing<policy_two_choices>("product", deployment, load_information::kHints, seed);
  ReportFailing<policy_zone_balance>("zone_balance", deployment, load_information::kHints,
                                     seed);
  ReportFailing<policy_random>("random", deployment, load_information::kNone, seed);
  ReportFailing<policy_least_reported>("least_reported", deployment, load_information::kReports,
                                       seed);
}

}  // namespace
}  // namespace bronzeroute

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));  // NOLINT
  bronzeroute::ReportDeployment(bronzeroute::kGelo, seed);
  bronzeroute::ReportDeployment(bronzeroute::kSiam, seed);
  bronzeroute::ReportZoneScenarios(seed);
  bronzeroute::ReportScale(seed);
  return 0;
}
