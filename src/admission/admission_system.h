#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/admission/account_shares.h"
#include "src/admission/cancel_result.h"
#include "src/admission/cold_limit.h"
#include "src/admission/rate_limit.h"
#include "src/admission/submit_result.h"
#include "src/admission/upstream_end.h"
#include "src/admission/work_classifier.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/service_spec.h"
#include "src/routing/ejection.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

class queue_listener;
struct attempt_head;

/// Admission control for the upstream beside this process. Its counts of slots, connections and
/// queued work are exact, since all work for the upstream passes through it. Each running
/// attempt holds one slot and one connection until OnUpstreamEnded.
///
/// Work is either short or long (see `work_classifier`); the configuration limits the share of
/// the slots and connections that long work may hold.
class admission_system {
 public:
  /// `listener` is not owned and must outlive the system.
  explicit admission_system(queue_listener* listener);

  /// Sets each limit to the smaller of the value in the configuration and the one announced by
  /// the upstream. The first call and a change of the service start the warm-up. If a limit is
  /// lowered, running work above it finishes.
  void Configure(const service_spec& spec, std::uint32_t announced_slots,
                 std::uint32_t announced_connections, time_point now);

  /// Sets the accounts of the document in effect. While there are any, calls made by running
  /// work start before all others, and of the work of equal rank that cannot all be served in
  /// time, that of the accounts that exceed their share most is refused; see `account_shares`.
  void SetAccounts(std::span<const account_spec> accounts) { shares_.SetAccounts(accounts); }

  /// Another incarnation of the upstream announced itself: ends a drain, clears the failure
  /// state, and starts the warm-up again.
  void OnUpstreamReplaced(time_point now);

  /// The upstream reports that it is cold, and slow, until `warm_at`; a configured warm-up ends
  /// at that time. Queued work that can no longer start before its deadline is refused.
  void SetWarmAt(time_point warm_at, time_point now);

  /// The upstream may have become cold: it counts as cold until it reports otherwise.
  void AssumeCold(time_point now);

  /// The upstream reports that work now takes `percent` of its usual service time.
  void SetServiceTimePercent(std::uint32_t percent, time_point now);

  /// The upstream named a limit of `per_second` requests per second. Queued work that can no
  /// longer start before its deadline is refused.
  void SetMaxRate(double per_second, time_point now);
  /// A response to a request that was sent at `asked` named no limit.
  void EndMaxRate(time_point asked, time_point now);

  /// Starts, queues or refuses the attempt. Error kinds: kDuplicateAttempt (the exchange is
  /// queued or running already), kNotReady, kWrongService, kDraining, kDeadlineTooShort,
  /// kUpstreamEjected, kOverloaded, kUpstreamSlow.
  submit_result Submit(exchange_id exchange, const attempt_head& head, time_point now);

  /// The request of `exchange` ended at the upstream; frees its slot and connection.
  void OnUpstreamEnded(exchange_id exchange, const upstream_end& outcome, time_point now);

  cancel_result Cancel(exchange_id exchange, time_point now);

  /// Refuses queued and new work with kDraining; running work finishes.
  void Drain(time_point now);

  /// The process was suspended and continues: refuses all queued work.
  void OnFreeze(time_point now);

  /// Refuses all queued work with `kind`; running work finishes.
  void RefuseAllQueued(error_kind kind, time_point now);

  void Tick(time_point now);

  /// The state to be sent to entries, with a sequence above that of every earlier hint.
  load_hint Hint(time_point now);

  bool draining() const { return draining_; }
  /// True if the last service-time percent is recent and at least 200.
  bool IsSlow(time_point now) const;
  /// True if the limit that the upstream named, if any, and the limit of a cold upstream allow
  /// a start now.
  bool RateAllowsStart(time_point now) const {
    return rate_limit_.MayStart(now) && ColdAllowsStart(now);
  }
  /// Starts per second that the limit of a cold upstream allows now; 0 if it does not apply.
  double ColdRate(time_point now) const { return cold_.Rate(now); }
  /// Work that was queued or refused, rather than started, while the limit of a cold upstream
  /// allowed no start.
  std::uint64_t held_by_cold_limit() const { return held_by_cold_limit_; }
  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queues_[0].size() + queues_[1].size(); }
  std::uint32_t running_long() const { return running_long_; }
  ejection_state health(time_point now) const { return health_.At(now); }
  /// Usable slots; the number grows from 1 to all during the warm-up.
  std::uint32_t EffectiveSlots(time_point now) const;
  /// The last reported service time as a share of the usual one in percent, or 100 if the
  /// report is outdated.
  std::uint32_t ServiceTimePercent(time_point now) const;
  /// The largest number of slots that long work may hold.
  std::uint32_t LongLimit(time_point now) const;

 private:
  /// Service-time percent of an upstream in its usual state.
  static constexpr std::uint32_t kUsualServiceTimePercent = 100;

  struct running_row {
    std::size_t route = 0;
    std::uint64_t route_id = 0;
    bool is_long = false;
    bool is_trial = false;
  };
  struct queue_row {
    exchange_id exchange;
    std::size_t route = 0;
    std::uint64_t route_id = 0;
    std::string account{};
    /// Expected service time.
    duration expected{};
    /// Running work elsewhere waits for the response. Set only while there are accounts.
    bool is_awaited = false;
    std::uint32_t account_priority = 0;
    std::uint32_t priority = 0;
    /// Use of the upstream by the account, this work and that before it included; 0 without
    /// accounts. See `account_shares`.
    double use = 0;
    /// Latest start with which the response is expected to meet the objective and the deadline.
    time_point latest_start;
    /// Start from which the work counts as late, so that other work starts first: the response
    /// is expected after the time until which it is useful.
    time_point useful_until;
    time_point deadline;

    /// Calls made by running work first, then by priority of the account and of the route.
    std::tuple<bool, std::uint32_t, std::uint32_t> Rank() const {
      return {!is_awaited, account_priority, priority};
    }
    /// Order in the queue: by rank, then by latest start.
    std::pair<std::tuple<bool, std::uint32_t, std::uint32_t>, time_point> Order() const {
      return {Rank(), latest_start};
    }
    /// Order of refusals if not all work can be served, the highest first.
    std::pair<std::tuple<bool, std::uint32_t, std::uint32_t>, double> RefusalOrder() const {
      return {Rank(), use};
    }
    bool IsLate(time_point now) const { return useful_until <= now; }
  };
  struct notice {
    exchange_id exchange;
    /// kNone if the work was started, else the reason of the refusal.
    error_kind kind = error_kind::kNone;
  };
  using queue = std::deque<queue_row>;

  queue& QueueOf(bool is_long) { return queues_[is_long ? 1 : 0]; }
  const queue& QueueOf(bool is_long) const { return queues_[is_long ? 1 : 0]; }
  /// After a change of the routes: removes the route numbers, now invalid, from the rows.
  void ForgetRoutes();
  bool IsQueued(exchange_id exchange) const;
  /// Connections reserved for short work.
  std::uint32_t ReservedConnections() const;
  /// Maximum number of requests of the class that may run at the same time.
  std::uint32_t Parallel(bool is_long, time_point now) const;
  /// True if the upstream is slow and the additional service time here exceeds the additional
  /// cost of another owner.
  bool IsBetterElsewhere(const attempt_head& head, std::size_t route, bool is_long,
                         time_point now) const;
  bool MayStart(bool is_long, time_point now) const;
  bool ColdAllowsStart(time_point now) const {
    return cold_.MayStart(running_.size() - running_long_, now);
  }
  /// Time until the limits of rates allow the start that follows `ahead` others.
  duration RateWait(std::size_t ahead, time_point now) const;
  /// True if more short work is queued than there are effective slots.
  bool IsDemandPeak(time_point now) const;
  duration ExpectedWait(bool is_long, std::size_t position, time_point now) const;
  /// Queues the attempt and returns kNone, or returns the reason of the refusal.
  error_kind Enqueue(exchange_id exchange, const attempt_head& head, std::size_t route,
                     bool is_long, time_point now);
  /// Queues `row` and refuses what cannot be served in time, or is too much for the queue, by
  /// the shares of the accounts. Returns the reason if that is `row` itself.
  error_kind EnqueueByShare(const queue_row& row, bool is_long, time_point now);
  /// Computes the use by the accounts for each of `entries`.
  void ComputeUse(queue& entries, time_point now);
  /// Refuses the work that is the highest in `RefusalOrder` among those of `entries` up to and
  /// including the position `last`, late work before it left out. Returns its exchange.
  exchange_id RefuseByShare(queue& entries, std::size_t last, error_kind kind, time_point now);
  submit_result SubmitTrial(exchange_id exchange, const attempt_head& head, std::size_t route,
                            bool is_long, time_point now);
  /// Makes room in the full short queue for work with `deadline`: refuses all queued long work
  /// (kOverloaded) and the queued short work with the earliest deadline (kQueueTimeout).
  /// Returns false, and refuses no short work, if `deadline` is not later than that or no short
  /// work is queued.
  bool MakeRoom(time_point deadline);
  void Start(exchange_id exchange, std::size_t route, std::uint64_t route_id, bool is_long,
             bool is_trial, time_point now);
  void RefuseQueued(error_kind kind);
  void RefuseQueuedLong();
  /// Refuses queued work that is expected to start after its deadline.
  void RefuseHopeless(time_point now);
  void DropExpired(time_point now);
  void StartQueued(time_point now);
  bool StartFirst(bool is_long, time_point now);
  /// Calls the listener for `notices_`. Must be the last step of an event, because the listener
  /// may call back into this object.
  void Notify();

  queue_listener* listener_;
  bool configured_ = false;
  bool draining_ = false;
  std::string service_;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  std::uint32_t queue_limit_ = 0;
  double long_share_ = 0;
  time_point warmup_start_;
  time_point warmup_end_;
  bool has_warmup_ = false;
  std::uint32_t service_time_percent_ = kUsualServiceTimePercent;
  time_point service_time_percent_until_;
  rate_limit rate_limit_;
  cold_limit cold_;
  std::uint64_t held_by_cold_limit_ = 0;
  work_classifier classifier_;
  account_shares shares_;
  ejection health_;
  absl::flat_hash_map<exchange_id, running_row> running_;
  std::uint32_t running_long_ = 0;
  /// Short work, long work; each in the order in which it starts.
  queue queues_[2];
  std::vector<notice> notices_;
  std::uint64_t hint_sequence_ = 0;
};

}  // namespace bronzeroute
