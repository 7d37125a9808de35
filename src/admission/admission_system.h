#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/admission/cancel_result.h"
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

/// The gate in front of the upstream beside this process. It knows slots, connections and queue
/// exactly, since all work for the upstream passes it. Each running attempt holds one slot and
/// one connection until OnUpstreamEnded.
class admission_system {
 public:
  /// `listener` is not owned and must outlive the system.
  explicit admission_system(queue_listener* listener);

  /// Sets the limits: the smaller of the document's and the announced ones. The first call, and
  /// a change of the service, start the warm-up. Running work above a lowered limit finishes.
  void Configure(const service_spec& spec, std::uint32_t announced_slots,
                 std::uint32_t announced_connections, time_point now);

  /// Another run of the upstream announced itself: ends a drain, forgets failures, and starts
  /// the warm-up again.
  void OnUpstreamReplaced(time_point now);

  /// The upstream says that it is slow until `warm_at`; the warm-up ends then.
  void SetWarmAt(time_point warm_at, time_point now);

  /// The upstream says that work takes `percent` of the usual time now.
  void SetServiceTimePercent(std::uint32_t percent, time_point now);

  /// Starts, queues or refuses the attempt. Error kinds: kDuplicateAttempt (the exchange is
  /// here already), kNotReady, kWrongService, kDraining, kDeadlineTooShort, kUpstreamEjected,
  /// kOverloaded, kUpstreamSlow.
  submit_result Submit(exchange_id exchange, const attempt_head& head, time_point now);

  /// The request of `exchange` ended at the upstream; frees its slot and connection.
  void OnUpstreamEnded(exchange_id exchange, const upstream_end& outcome, time_point now);

  cancel_result Cancel(exchange_id exchange, time_point now);

  /// Refuses queued and new work with kDraining; running work finishes.
  void Drain(time_point now);

  /// The process did not run for a while: refuses all queued work.
  void OnFreeze(time_point now);

  void Tick(time_point now);

  /// The state to be sent to entries, with a sequence above that of every earlier hint.
  load_hint Hint(time_point now);

  bool draining() const { return draining_; }
  /// The upstream said a moment ago that work takes much longer than usual.
  bool IsSlow(time_point now) const;
  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return queues_[0].size() + queues_[1].size(); }
  std::uint32_t running_long() const { return running_long_; }
  ejection_state health(time_point now) const { return health_.At(now); }
  /// Slots open to work: grows from 1 to all during the warm-up.
  std::uint32_t EffectiveSlots(time_point now) const;
  /// What the upstream said last about its pace in percent; the usual 100 when that is old.
  std::uint32_t ServiceTimePercent(time_point now) const;
  /// The largest number of slots that long work may hold.
  std::uint32_t LongLimit(time_point now) const;

 private:
  /// Pace of an upstream in its usual state, in percent.
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
    std::uint32_t priority = 0;
    /// Start from which the answer is expected after its objective.
    time_point latest_start;
    /// Start from which other work goes first: the answer is expected to be worth little.
    time_point useful_until;
    time_point deadline;

    /// Higher ranks go first; within a rank, what has to start first.
    std::pair<std::uint32_t, time_point> Order() const { return {priority, latest_start}; }
    bool IsLate(time_point now) const { return useful_until <= now; }
  };
  struct notice {
    exchange_id exchange;
    /// kNone: started.
    error_kind kind = error_kind::kNone;
  };
  using queue = std::deque<queue_row>;

  queue& QueueOf(bool is_long) { return queues_[is_long ? 1 : 0]; }
  const queue& QueueOf(bool is_long) const { return queues_[is_long ? 1 : 0]; }
  /// After a change of the routes, the rows of earlier work name none.
  void ForgetRoutes();
  bool IsQueued(exchange_id exchange) const;
  /// Connections that long work may not take.
  std::uint32_t ReservedConnections() const;
  /// Slots that work of the class can use side by side.
  std::uint32_t Parallel(bool is_long, time_point now) const;
  /// The work takes longer here now than another owner would cost more.
  bool IsBetterElsewhere(const attempt_head& head, std::size_t route, bool is_long,
                         time_point now) const;
  bool MayStart(bool is_long, time_point now) const;
  /// More short work waits than the slots finish in one turn.
  bool IsDemandPeak(time_point now) const;
  duration ExpectedWait(bool is_long, std::size_t position, time_point now) const;
  /// Queues the attempt and returns kNone, or says why not.
  error_kind Enqueue(exchange_id exchange, const attempt_head& head, std::size_t route,
                     bool is_long, time_point now);
  submit_result SubmitTrial(exchange_id exchange, const attempt_head& head, std::size_t route,
                            bool is_long, time_point now);
  /// Makes room in the full short queue for work with `deadline`: drops long work first, then
  /// the short work with the least remaining time (kQueueTimeout). False if the newcomer is
  /// that work.
  bool MakeRoom(time_point deadline);
  void Start(exchange_id exchange, std::size_t route, std::uint64_t route_id, bool is_long,
             bool is_trial);
  void RefuseQueued(error_kind kind);
  void DropExpired(time_point now);
  void StartQueued(time_point now);
  bool StartFirst(bool is_long, time_point now);
  /// Calls the listener for `notices_`. Must be the last step of an event.
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
  std::uint32_t service_time_percent_ = kUsualServiceTimePercent;
  time_point service_time_percent_until_;
  work_classifier classifier_;
  ejection health_;
  absl::flat_hash_map<exchange_id, running_row> running_;
  std::uint32_t running_long_ = 0;
  /// Short work, long work; each in the order in which it starts.
  queue queues_[2];
  std::vector<notice> notices_;
  std::uint64_t hint_sequence_ = 0;
};

}  // namespace bronzeroute
