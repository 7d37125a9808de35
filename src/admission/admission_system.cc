#include "src/admission/admission_system.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/admission/queue_listener.h"
#include "src/calls/attempt_head.h"

namespace bronzeroute {
namespace {

// Divisor: before enough service times were observed, short work is assumed to take a quarter
// of the latency objective. The rest is left for waiting and for the spread of service times.
constexpr int kAssumedShareOfObjective = 4;
// Keeps a product such as 5 * 0.8 from falling below the exact integer by rounding.
constexpr double kSlotRounding = 1e-9;

// Service-time percent from which the cost of another owner is compared.
constexpr std::uint32_t kSlowServiceTimePercent = 200;
// Time after which a reported service-time percent is outdated: it changes many times a second.
constexpr duration kServiceTimePercentValidity = std::chrono::milliseconds(150);

submit_result Refused(error_kind kind, bool is_long = false) {
  return {.state = submit_state::kRefused, .kind = kind, .is_long = is_long};
}

}  // namespace

admission_system::admission_system(queue_listener* listener) : listener_(listener) {}

void admission_system::Configure(const service_spec& spec, std::uint32_t announced_slots,
                                 std::uint32_t announced_connections, time_point now) {
  const bool restart = !configured_ || service_ != spec.name;
  const duration elapsed = now - warmup_start_;
  configured_ = true;
  service_ = spec.name;
  const std::uint32_t slots = std::min(spec.max_slots, announced_slots);
  slots_ = slots == 0 ? 0
                      : std::max(1U, static_cast<std::uint32_t>(
                                         std::floor(slots * spec.slot_share + kSlotRounding)));
  connections_ = std::min(spec.max_connections, announced_connections);
  queue_limit_ = spec.queue_limit;
  long_share_ = spec.long_share;
  if (restart) {
    classifier_ = work_classifier();
    RefuseQueued(error_kind::kWrongService);
    health_.Clear();
  }
  if (classifier_.Configure(spec)) ForgetRoutes();
  warmup_start_ = restart ? now : now - elapsed;
  warmup_end_ = warmup_start_ + spec.warmup;
  has_warmup_ = spec.warmup > duration(0);
  cold_.Configure(spec.cold_rate_per_s, spec.cold_time, now);
  StartQueued(now);
  Notify();
}

void admission_system::ForgetRoutes() {
  for (auto& [exchange, row] : running_) row.route = work_classifier::kNoRoute;
  for (queue& entries : queues_) {
    for (queue_row& row : entries) row.route = work_classifier::kNoRoute;
  }
}

void admission_system::OnUpstreamReplaced(time_point now) {
  const duration warmup = warmup_end_ - warmup_start_;
  warmup_start_ = now;
  warmup_end_ = now + warmup;
  draining_ = false;
  rate_limit_.Clear();
  health_.Clear();
  AssumeCold(now);
}

void admission_system::AssumeCold(time_point now) {
  const bool was_cold = cold_.IsCold(now);
  cold_.AssumeCold(now);
  if (was_cold || !cold_.IsCold(now)) return;
  RefuseHopeless(now);
  Notify();
}

void admission_system::SetWarmAt(time_point warm_at, time_point now) {
  const bool was_cold = cold_.IsCold(now);
  cold_.OnStated(warm_at, now);
  if (!was_cold && cold_.IsCold(now)) {
    RefuseHopeless(now);
    Notify();
  }
  // Without a configured warm-up, all slots stay in use: a cold upstream takes longer, but it
  // has its slots. With one slot each, a deployment that starts again as a whole would refuse
  // most of its work beside idle upstreams.
  if (!has_warmup_) return;
  if (warm_at <= now) {
    warmup_end_ = std::min(warmup_end_, now);
    return;
  }
  if (now >= warmup_end_) warmup_start_ = now;
  warmup_end_ = warm_at;
}

std::uint32_t admission_system::EffectiveSlots(time_point now) const {
  if (slots_ <= 1 || now >= warmup_end_) return slots_;
  if (now <= warmup_start_) return 1;
  const double share = static_cast<double>((now - warmup_start_).count()) /
                       static_cast<double>((warmup_end_ - warmup_start_).count());
  return 1 + static_cast<std::uint32_t>(share * (slots_ - 1));
}

void admission_system::SetServiceTimePercent(std::uint32_t percent, time_point now) {
  service_time_percent_ = percent;
  service_time_percent_until_ = now + kServiceTimePercentValidity;
}

std::uint32_t admission_system::ServiceTimePercent(time_point now) const {
  return now < service_time_percent_until_ ? service_time_percent_ : kUsualServiceTimePercent;
}

bool admission_system::IsSlow(time_point now) const {
  return ServiceTimePercent(now) >= kSlowServiceTimePercent;
}

void admission_system::SetMaxRate(double per_second, time_point now) {
  if (!rate_limit_.Name(per_second, now)) return;
  RefuseHopeless(now);
  Notify();
}

void admission_system::EndMaxRate(time_point asked, time_point now) {
  if (!rate_limit_.IsSet()) return;
  rate_limit_.End(asked);
  StartQueued(now);
  Notify();
}

bool admission_system::IsBetterElsewhere(const attempt_head& head, std::size_t route,
                                         bool is_long, time_point now) const {
  if (!head.other_cost || !IsSlow(now)) return false;
  const duration usual = classifier_.Expected(is_long, route, head.route_id);
  return usual * (ServiceTimePercent(now) - kUsualServiceTimePercent) /
             kUsualServiceTimePercent >
         *head.other_cost;
}

std::uint32_t admission_system::LongLimit(time_point now) const {
  // With a single slot in all, reserving it for short work would exclude long work permanently.
  const std::uint32_t all = std::min(slots_, connections_);
  if (all <= 1) return all;
  const std::uint32_t effective = Parallel(false, now);
  if (effective <= 1) return 0;
  const auto share = static_cast<std::uint32_t>(std::floor(effective * long_share_));
  return std::clamp(share, 1U, effective - 1);
}

std::uint32_t admission_system::ReservedConnections() const {
  if (connections_ <= 1) return 0;
  const auto share = static_cast<std::uint32_t>(std::ceil(connections_ * (1 - long_share_)));
  return std::clamp(share, 1U, connections_ - 1);
}

std::uint32_t admission_system::Parallel(bool is_long, time_point now) const {
  if (is_long) return std::min(LongLimit(now), connections_ - ReservedConnections());
  return std::min(EffectiveSlots(now), connections_);
}

bool admission_system::MayStart(bool is_long, time_point now) const {
  if (running_.size() >= Parallel(false, now) || !RateAllowsStart(now)) return false;
  return !is_long || running_long_ < Parallel(true, now);
}

bool admission_system::IsDemandPeak(time_point now) const {
  return QueueOf(false).size() > EffectiveSlots(now);
}

duration admission_system::ExpectedWait(bool is_long, std::size_t position,
                                        time_point now) const {
  std::uint32_t parallel = Parallel(is_long, now);
  // Slots that long work holds will not become free for short work soon.
  if (!is_long) parallel -= std::min(parallel, running_long_);
  const auto mean = classifier_.MeanOf(is_long).count();
  const auto turns = static_cast<duration::rep>(position + 1);
  const std::size_t ahead = position + (is_long ? QueueOf(false).size() : 0);
  return std::max(duration(mean * turns / std::max<duration::rep>(parallel, 1)),
                  RateWait(ahead, now));
}

duration admission_system::RateWait(std::size_t ahead, time_point now) const {
  return std::max(rate_limit_.Wait(ahead, now), cold_.Wait(ahead, now));
}

bool admission_system::IsQueued(exchange_id exchange) const {
  return std::ranges::any_of(queues_, [&](const queue& entries) {
    return std::ranges::find(entries, exchange, &queue_row::exchange) != entries.end();
  });
}

submit_result admission_system::Submit(exchange_id exchange, const attempt_head& head,
                                       time_point now) {
  if (running_.contains(exchange) || IsQueued(exchange)) {
    return Refused(error_kind::kDuplicateAttempt);
  }
  if (!configured_) return Refused(error_kind::kNotReady);
  if (head.service != service_) return Refused(error_kind::kWrongService);
  if (draining_) return Refused(error_kind::kDraining);
  const std::size_t route = classifier_.RouteOf(head.method, head.path);
  const bool is_long = classifier_.IsLong(head, route);
  if (head.deadline <= now) return Refused(error_kind::kDeadlineTooShort, is_long);
  if (Parallel(false, now) == 0) return Refused(error_kind::kOverloaded, is_long);
  if (health_.At(now) != ejection_state::kClear) {
    return SubmitTrial(exchange, head, route, is_long, now);
  }
  if (IsBetterElsewhere(head, route, is_long, now)) {
    return Refused(error_kind::kUpstreamSlow, is_long);
  }
  DropExpired(now);
  StartQueued(now);
  submit_result result = {.state = submit_state::kStarted, .is_long = is_long};
  if (QueueOf(is_long).empty() && MayStart(is_long, now)) {
    // A free slot is used even if the mean service time exceeds the time left until the
    // deadline. Otherwise a mean that has grown too large would refuse all work and never be
    // corrected.
    shares_.OnStart(head.account, classifier_.Expected(is_long, route, head.route_id), now);
    Start(exchange, route, head.route_id, is_long, false, now);
  } else {
    if (!ColdAllowsStart(now)) ++held_by_cold_limit_;
    const error_kind kind = Enqueue(exchange, head, route, is_long, now);
    result.kind = kind;
    result.state = kind == error_kind::kNone ? submit_state::kQueued : submit_state::kRefused;
  }
  Notify();
  return result;
}

error_kind admission_system::Enqueue(exchange_id exchange, const attempt_head& head,
                                     std::size_t route, bool is_long, time_point now) {
  queue& entries = QueueOf(is_long);
  const bool full = entries.size() >= queue_limit_;
  if (is_long && (full || IsDemandPeak(now))) return error_kind::kOverloaded;
  // An owner that has just started has observed no service times. Assuming too short ones would
  // fill the queue with requests that finish too late.
  if (head.route_id != 0 && head.objective > now) {
    classifier_.RaiseAssumed((head.objective - now) / kAssumedShareOfObjective);
  }
  // A response after the objective is worth little: the slot goes to work that is still in
  // time.
  const time_point limit =
      head.objective == time_point{} ? head.deadline : std::min(head.objective, head.deadline);
  const duration expected = classifier_.Expected(is_long, route, head.route_id);
  // A nested call comes from work that holds a slot elsewhere and fails if the call is refused,
  // so it may wait until the deadline.
  const time_point last_use = head.depth > 0 ? head.deadline : limit;
  const queue_row row = {.exchange = exchange,
                         .route = route,
                         .route_id = head.route_id,
                         .account = shares_.IsActive() ? head.account : "",
                         .expected = expected,
                         .is_awaited = shares_.IsActive() && head.depth > 0,
                         .account_priority = head.account_priority,
                         .priority = head.priority,
                         .latest_start = limit - expected,
                         .useful_until = last_use - expected,
                         .deadline = head.deadline};
  if (shares_.IsActive()) return EnqueueByShare(row, is_long, now);
  const auto place = [&] {
    return std::ranges::upper_bound(entries, row.Order(), {}, &queue_row::Order);
  };
  const auto ahead = std::count_if(
      entries.begin(), place(), [now](const queue_row& other) { return !other.IsLate(now); });
  if (now + ExpectedWait(is_long, static_cast<std::size_t>(ahead), now) >= row.useful_until) {
    return error_kind::kDeadlineTooShort;
  }
  if (full && !MakeRoom(head.deadline)) return error_kind::kOverloaded;
  // MakeRoom may have changed the queue, so the position is determined again.
  entries.insert(place(), row);
  return error_kind::kNone;
}

error_kind admission_system::EnqueueByShare(const queue_row& row, bool is_long,
                                            time_point now) {
  queue& entries = QueueOf(is_long);
  const auto place = entries.insert(
      std::ranges::upper_bound(entries, row.Order(), {}, &queue_row::Order), row);
  const auto first = static_cast<std::size_t>(place - entries.begin());
  auto ahead = static_cast<std::size_t>(std::count_if(
      entries.begin(), place, [now](const queue_row& other) { return !other.IsLate(now); }));
  ComputeUse(entries, now);
  // Service times vary: in fair_share_bench with seed 1, of 1,997 requests of the other
  // accounts in the burst of the largest one, 45 were late without this margin, and 6 with it.
  // Work that is next starts too soon to need it.
  const auto margin = [](const queue_row& each, std::size_t position) {
    return position == 0 ? duration(0) : each.expected;
  };
  error_kind own_end = error_kind::kNone;
  // The work before the new one is not affected. What can no longer be in time is refused now,
  // while another upstream may still serve it.
  for (std::size_t i = first; i < entries.size();) {
    if (entries[i].IsLate(now) && entries[i].exchange != row.exchange) {
      ++i;
    } else if (now + ExpectedWait(is_long, ahead, now) + margin(entries[i], ahead) <
               entries[i].useful_until) {
      ++ahead;
      ++i;
    } else {
      const exchange_id checked = entries[i].exchange;
      const exchange_id refused = RefuseByShare(entries, i, error_kind::kDeadlineTooShort, now);
      if (refused == row.exchange) own_end = error_kind::kDeadlineTooShort;
      if (refused != checked) {
        // The work that was checked moved forward, and one of those before it is gone.
        --i;
        --ahead;
      }
    }
  }
  if (entries.size() > queue_limit_) {
    if (!is_long) RefuseQueuedLong();
    if (RefuseByShare(entries, entries.size() - 1, error_kind::kOverloaded, now) ==
        row.exchange) {
      own_end = error_kind::kOverloaded;
    }
  }
  // The refusal of the new work is returned instead of being reported to the listener.
  if (own_end != error_kind::kNone) {
    std::erase_if(notices_, [&](const notice& each) { return each.exchange == row.exchange; });
  }
  return own_end;
}

void admission_system::ComputeUse(queue& entries, time_point now) {
  absl::flat_hash_map<std::string, duration> queued;
  for (queue_row& row : entries) {
    duration& time = queued[row.account];
    time += row.expected;
    row.use = shares_.Use(row.account, time, row.expected, now);
  }
}

exchange_id admission_system::RefuseByShare(queue& entries, std::size_t last, error_kind kind,
                                            time_point now) {
  std::size_t least = last;
  for (std::size_t i = last; i > 0; --i) {
    const queue_row& row = entries[i - 1];
    if (!row.IsLate(now) && row.RefusalOrder() > entries[least].RefusalOrder()) least = i - 1;
  }
  const exchange_id refused = entries[least].exchange;
  notices_.push_back({refused, kind});
  entries.erase(entries.begin() + static_cast<queue::difference_type>(least));
  return refused;
}

submit_result admission_system::SubmitTrial(exchange_id exchange, const attempt_head& head,
                                            std::size_t route, bool is_long, time_point now) {
  if (!health_.MayTry(head.is_protected, now) || !MayStart(is_long, now)) {
    return Refused(error_kind::kUpstreamEjected, is_long);
  }
  health_.BeginTrial();
  Start(exchange, route, head.route_id, is_long, true, now);
  return {.state = submit_state::kStarted, .is_long = is_long};
}

bool admission_system::MakeRoom(time_point deadline) {
  RefuseQueuedLong();
  queue& short_work = QueueOf(false);
  const auto least = std::ranges::min_element(short_work, {}, &queue_row::deadline);
  if (least == short_work.end() || deadline <= least->deadline) return false;
  // Not kOverloaded, after which the entry would send it to the queue of another owner: it has
  // waited already, and would most likely have the least remaining time there too.
  notices_.push_back({least->exchange, error_kind::kQueueTimeout});
  short_work.erase(least);
  return true;
}

void admission_system::Start(exchange_id exchange, std::size_t route, std::uint64_t route_id,
                             bool is_long, bool is_trial, time_point now) {
  rate_limit_.OnStart(now);
  cold_.OnStart(now);
  running_.emplace(
      exchange,
      running_row{
          .route = route, .route_id = route_id, .is_long = is_long, .is_trial = is_trial});
  if (is_long) ++running_long_;
}

void admission_system::OnUpstreamEnded(exchange_id exchange, const upstream_end& outcome,
                                       time_point now) {
  const auto found = running_.find(exchange);
  if (found == running_.end()) return;
  const running_row row = found->second;
  running_.erase(found);
  if (row.is_long) --running_long_;
  switch (outcome.result) {
    case upstream_result::kCompleted:
      // Failed requests are left out: fast failures would lower the mean service time.
      classifier_.Observe(row.is_long, row.route, row.route_id, outcome.service_time);
      if (row.is_trial) {
        health_.OnTrialSucceeded();
      } else {
        health_.OnSuccess();
      }
      break;
    case upstream_result::kFailed:
      if (row.is_trial) {
        health_.OnTrialFailed(now);
      } else if (health_.OnFailure(true, now)) {
        RefuseQueued(error_kind::kUpstreamEjected);
      }
      break;
    case upstream_result::kCancelled:
      if (row.is_trial) health_.OnTrialAbandoned();
      break;
  }
  DropExpired(now);
  StartQueued(now);
  Notify();
}

cancel_result admission_system::Cancel(exchange_id exchange, time_point now) {
  if (running_.contains(exchange)) return cancel_result::kRunning;
  for (queue& entries : queues_) {
    const auto found = std::ranges::find(entries, exchange, &queue_row::exchange);
    if (found == entries.end()) continue;
    entries.erase(found);
    DropExpired(now);
    StartQueued(now);
    Notify();
    return cancel_result::kRemovedFromQueue;
  }
  return cancel_result::kUnknown;
}

void admission_system::Drain(time_point now) {
  draining_ = true;
  DropExpired(now);
  RefuseQueued(error_kind::kDraining);
  Notify();
}

void admission_system::OnFreeze(time_point now) {
  RefuseAllQueued(error_kind::kOverloaded, now);
}

void admission_system::RefuseAllQueued(error_kind kind, time_point now) {
  DropExpired(now);
  RefuseQueued(kind);
  Notify();
}

void admission_system::Tick(time_point now) {
  DropExpired(now);
  StartQueued(now);
  Notify();
}

void admission_system::RefuseQueued(error_kind kind) {
  for (queue& entries : queues_) {
    for (const queue_row& row : entries) notices_.push_back({row.exchange, kind});
    entries.clear();
  }
}

void admission_system::RefuseQueuedLong() {
  queue& long_work = QueueOf(true);
  for (const queue_row& row : long_work) {
    notices_.push_back({row.exchange, error_kind::kOverloaded});
  }
  long_work.clear();
}

void admission_system::RefuseHopeless(time_point now) {
  for (const bool is_long : {false, true}) {
    std::size_t position = 0;
    std::erase_if(QueueOf(is_long), [&](const queue_row& row) {
      if (now + ExpectedWait(is_long, position, now) < row.deadline) {
        ++position;
        return false;
      }
      notices_.push_back({row.exchange, error_kind::kOverloaded});
      return true;
    });
  }
}

void admission_system::DropExpired(time_point now) {
  for (queue& entries : queues_) {
    std::erase_if(entries, [&](const queue_row& row) {
      if (row.deadline > now) return false;
      notices_.push_back({row.exchange, error_kind::kQueueTimeout});
      return true;
    });
  }
}

void admission_system::StartQueued(time_point now) {
  if (health_.At(now) != ejection_state::kClear) return;
  // While short work is queued, a long request starts only if no other long request is running.
  while ((running_long_ == 0 && StartFirst(true, now)) || StartFirst(false, now) ||
         (QueueOf(false).empty() && StartFirst(true, now))) {
  }
}

bool admission_system::StartFirst(bool is_long, time_point now) {
  queue& entries = QueueOf(is_long);
  if (entries.empty() || !MayStart(is_long, now)) return false;
  // Starting work that is already late would make the rest of the queue late too.
  auto next = std::ranges::find_if(
      entries, [now](const queue_row& waiting) { return !waiting.IsLate(now); });
  if (next == entries.end()) next = entries.begin();
  const queue_row row = *next;
  entries.erase(next);
  shares_.OnStart(row.account, row.expected, now);
  Start(row.exchange, row.route, row.route_id, is_long, false, now);
  notices_.push_back({row.exchange, error_kind::kNone});
  return true;
}

void admission_system::Notify() {
  const std::vector<notice> notices = std::exchange(notices_, {});
  for (const notice& row : notices) {
    if (row.kind == error_kind::kNone) {
      listener_->OnQueuedStarted(row.exchange);
    } else {
      listener_->OnQueuedRefused(row.exchange, row.kind);
    }
  }
}

load_hint admission_system::Hint(time_point now) {
  load_hint hint;
  hint.sequence = ++hint_sequence_;
  hint.effective_slots = std::min(EffectiveSlots(now), connections_);
  hint.in_use = static_cast<std::uint32_t>(running_.size());
  hint.running_long = running_long_;
  hint.queued_short = static_cast<std::uint32_t>(QueueOf(false).size());
  hint.queued_long = static_cast<std::uint32_t>(QueueOf(true).size());
  hint.service_time_us = static_cast<std::uint32_t>(
      std::clamp<duration::rep>(classifier_.MeanOf(false).count(), 1,
                                std::chrono::microseconds(std::chrono::hours(1)).count()));
  const double cold_rate = cold_.Rate(now);
  const bool is_cold_lower =
      cold_rate > 0 && (!rate_limit_.IsSet() || cold_rate < rate_limit_.rate());
  hint.max_rate = static_cast<float>(is_cold_lower ? cold_rate : rate_limit_.rate());
  hint.start_wait_us = static_cast<std::uint32_t>(RateWait(queued(), now).count());
  hint.failing = health_.At(now) != ejection_state::kClear;
  hint.draining = draining_;
  return hint;
}

}  // namespace bronzeroute
