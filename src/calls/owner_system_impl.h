#pragma once

// Definitions of basic_owner_system, included where it is instantiated: in owner_system.cc and
// in tests.

#include <algorithm>
#include <utility>

#include "src/calls/admission_gate.h"
#include "src/calls/attempt_listener.h"
#include "src/calls/call_times.h"
#include "src/calls/owner_message_identity.h"
#include "src/calls/owner_system.h"
#include "src/calls/peer_port.h"
#include "src/calls/route_directory.h"
#include "src/calls/upstream_port.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

template <typename Rules>
basic_owner_system<Rules>::basic_owner_system(const self_identity& self, peer_port& peers,
                                              upstream_port& upstreams, admission_gate& gate,
                                              attempt_listener& local_entry,
                                              const route_directory& routes,
                                              std::size_t key_capacity)
    : self_(self),
      peers_(peers),
      upstreams_(upstreams),
      gate_(gate),
      local_entry_(local_entry),
      routes_(routes),
      keys_(self, key_capacity) {}

template <typename Rules>
void basic_owner_system<Rules>::OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                                              time_point now) {
  CheckFreeze(now);
  Accept(exchange, head, false, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnLocalAttempt(exchange_id exchange, const attempt_head& head,
                                               time_point now) {
  CheckFreeze(now);
  Accept(exchange, head, true, now);
}

template <typename Rules>
void basic_owner_system<Rules>::Accept(exchange_id exchange, const attempt_head& head,
                                       bool is_local, time_point now) {
  ++counters_.attempts;
  const attempt_id id = head.id;
  if (Rules::IsDuplicate(!record_.Insert(id, now)) || rows_.contains(id)) {
    ++counters_.duplicates;
    SendRefusal(exchange, id, is_local, error_kind::kDuplicateAttempt, 0, now);
    return;
  }
  const bool is_for_this_incarnation =
      head.target == self_.id && head.target_incarnation == self_.incarnation;
  if (!is_for_this_incarnation) {
    SendRefusal(exchange, id, is_local, error_kind::kWrongIncarnation, 0, now);
    return;
  }
  if (!head.key.empty() && Rules::ChecksKeyRow()) {
    const key_decision decision = keys_.Begin(head.key, head.caller_try, id, now);
    if (decision.kind != error_kind::kNone) {
      SendRefusal(exchange, id, is_local, decision.kind, decision.recorded_status, now);
      return;
    }
  }
  rows_.insert_or_assign(
      id,
      attempt_row{.exchange = exchange, .head = head, .is_local = is_local, .arrived = now});
  by_exchange_[exchange] = id;
  if (IsDraining()) {
    Refuse(id, error_kind::kDraining, upstream_outcome::kNotStarted, now);
    return;
  }
  if (!MayRunHere(head)) {
    Refuse(id, error_kind::kOutsideRegions, upstream_outcome::kNotStarted, now);
    return;
  }
  if (Rules::IsLate(head.deadline, now)) {
    Refuse(id, error_kind::kDeadlineTooShort, upstream_outcome::kNotStarted, now);
    return;
  }
  const admission_result result = gate_.Submit(exchange, head, now);
  switch (result.decision) {
    case admission_result::state::kStarted:
      Start(id, now);
      break;
    case admission_result::state::kQueued:
      break;
    case admission_result::state::kRefused:
      Refuse(id, result.kind, upstream_outcome::kNotStarted, now);
      break;
  }
}

template <typename Rules>
bool basic_owner_system<Rules>::MayRunHere(const attempt_head& head) const {
  return !Rules::ChecksRegions() ||
         routes_.RegionsOf(head.route_id, head.account).Allows(self_.region);
}

template <typename Rules>
bool basic_owner_system<Rules>::HasFreeSlot(std::string_view service, bool is_long,
                                            time_point now) {
  return !IsDraining() && gate_.HasFreeSlot(service, is_long, now);
}

template <typename Rules>
void basic_owner_system<Rules>::Start(const attempt_id& id, time_point now) {
  attempt_row& row = rows_.find(id)->second;
  row.state = row_state::kStarted;
  row.started = now;
  // This process may have been frozen since the attempt arrived, so all conditions for the
  // start are checked again. The row of a cancelled attempt has already been removed.
  error_kind kind = error_kind::kNone;
  if (Rules::IsLate(row.head.deadline, now)) {
    kind = error_kind::kQueueTimeout;
  } else if (row.head.target_incarnation != self_.incarnation) {
    kind = error_kind::kWrongIncarnation;
  } else if (!MayRunHere(row.head)) {
    kind = error_kind::kOutsideRegions;
  } else if (Rules::ChecksKeyRow() && !row.head.key.empty() &&
             !keys_.IsRunning(row.head.key, id)) {
    kind = error_kind::kKeyUnknown;
  }
  if (kind != error_kind::kNone) {
    Refuse(id, kind, upstream_outcome::kNotStarted, now);
    return;
  }
  ++counters_.started;
  const exchange_id exchange = row.exchange;
  const time_point deadline = row.head.deadline;
  const bool is_protected = row.head.is_protected;
  const load_hint hint = gate_.Hint(now);
  if (row.is_local) {
    local_entry_.OnAttemptAdmitted({id, self_.id, self_.incarnation}, hint, now);
  } else {
    peers_.AdmitAttempt(exchange, hint);
  }
  upstreams_.StartUpstream(exchange, id, deadline, is_protected);
}

template <typename Rules>
void basic_owner_system<Rules>::OnQueuedStart(exchange_id exchange, time_point now) {
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) {
    gate_.OnUpstreamEnded(exchange, upstream_outcome::kNotStarted, now);
    return;
  }
  const attempt_id id = found->second;
  Start(id, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnQueuedRefused(exchange_id exchange, error_kind kind,
                                                time_point now) {
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) return;
  const attempt_id id = found->second;
  Refuse(id, kind, upstream_outcome::kNotStarted, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnEntryDisconnected(exchange_id exchange, time_point now) {
  CheckFreeze(now);
  Abandon(exchange, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnLocalCancel(exchange_id exchange, time_point now) {
  Abandon(exchange, now);
}

template <typename Rules>
void basic_owner_system<Rules>::Abandon(exchange_id exchange, time_point now) {
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) return;
  const attempt_id id = found->second;
  attempt_row& row = rows_.find(id)->second;
  row.is_abandoned = true;
  if (row.state == row_state::kQueued) {
    gate_.Cancel(exchange, now);
    const attempt_row removed = Remove(id, upstream_outcome::kNotStarted, now);
    EndKey(removed, key_state::kNotRun, 0, now);
    Observe(removed, error_kind::kCancelled, false, now);
    return;
  }
  // Protected work continues, so that the key table gets a definite result for its key.
  if (!row.head.is_protected && !row.is_cancelled) {
    row.is_cancelled = true;
    upstreams_.CancelUpstream(exchange, id);
  }
}

template <typename Rules>
auto basic_owner_system<Rules>::FindStarted(const attempt_id& id) -> attempt_row* {
  const auto found = rows_.find(id);
  if (found != rows_.end() && found->second.state != row_state::kQueued) return &found->second;
  ++counters_.dropped_events;
  return nullptr;
}

template <typename Rules>
void basic_owner_system<Rules>::OnUpstreamConnectFailed(const attempt_id& attempt,
                                                        time_point now) {
  CheckFreeze(now);
  attempt_row* row = FindStarted(attempt);
  if (row == nullptr) return;
  if (row->state == row_state::kResponding) {
    OnUpstreamEnded(attempt, false, now);
    return;
  }
  Refuse(attempt, error_kind::kUpstreamConnectFailed, upstream_outcome::kConnectFailed, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnUpstreamRefused(const attempt_id& attempt, time_point now) {
  CheckFreeze(now);
  attempt_row* row = FindStarted(attempt);
  if (row == nullptr || row->state == row_state::kResponding) return;
  Refuse(attempt, error_kind::kUpstreamRefused, upstream_outcome::kNotStarted, now);
}

template <typename Rules>
void basic_owner_system<Rules>::OnUpstreamResponseHead(const attempt_id& attempt, int status,
                                                       time_point now) {
  CheckFreeze(now);
  attempt_row* row = FindStarted(attempt);
  if (row == nullptr || row->state == row_state::kResponding) return;
  row->state = row_state::kResponding;
  row->status = status;
  EndKey(*row, key_state::kRan, status, now);
  if (row->is_abandoned) return;
  const exchange_id exchange = row->exchange;
  if (row->is_local) {
    local_entry_.OnResponseHead({attempt, self_.id, self_.incarnation}, status, now);
  } else {
    peers_.RelayToEntry(exchange, attempt);
  }
}

template <typename Rules>
void basic_owner_system<Rules>::OnUpstreamEnded(const attempt_id& attempt, bool complete,
                                                time_point now) {
  CheckFreeze(now);
  const attempt_row* row = FindStarted(attempt);
  if (row == nullptr) return;
  if (row->state == row_state::kStarted) {
    OnUpstreamLost(attempt, now);
    return;
  }
  upstream_outcome outcome = OutcomeOfLoss(*row, now);
  if (complete) {
    outcome = row->status >= 500 ? upstream_outcome::kFailed : upstream_outcome::kCompleted;
  }
  const attempt_row removed = Remove(attempt, outcome, now);
  Observe(removed, error_kind::kNone, complete, now);
  SendFinish(removed, complete, now);
}

template <typename Rules>
upstream_outcome basic_owner_system<Rules>::OutcomeOfLoss(const attempt_row& row,
                                                          time_point now) {
  const bool is_given_up = row.is_abandoned && now < row.head.deadline;
  return is_given_up ? upstream_outcome::kCancelled : upstream_outcome::kLost;
}

template <typename Rules>
void basic_owner_system<Rules>::OnUpstreamLost(const attempt_id& attempt, time_point now) {
  CheckFreeze(now);
  const attempt_row* row = FindStarted(attempt);
  if (row == nullptr) return;
  const bool response_started = row->state == row_state::kResponding;
  const attempt_row removed = Remove(attempt, OutcomeOfLoss(*row, now), now);
  Observe(removed, response_started ? error_kind::kNone : error_kind::kAnswerLost, false, now);
  if (response_started) {
    SendFinish(removed, false, now);
    return;
  }
  EndKey(removed, key_state::kUnknown, 0, now);
  if (removed.is_abandoned) return;
  SendRefusal(removed.exchange, attempt, removed.is_local, error_kind::kAnswerLost, 0, now);
}

template <typename Rules>
auto basic_owner_system<Rules>::Remove(const attempt_id& id, upstream_outcome outcome,
                                       time_point now) -> attempt_row {
  const auto found = rows_.find(id);
  attempt_row row = std::move(found->second);
  rows_.erase(found);
  by_exchange_.erase(row.exchange);
  // Freeing the slot may start queued work at once.
  if (row.state != row_state::kQueued) gate_.OnUpstreamEnded(row.exchange, outcome, now);
  return row;
}

template <typename Rules>
void basic_owner_system<Rules>::EndKey(const attempt_row& row, key_state state, int status,
                                       time_point now) {
  if (!row.head.key.empty()) keys_.End(row.head.key, row.head.id, state, status, now);
}

template <typename Rules>
void basic_owner_system<Rules>::Refuse(const attempt_id& id, error_kind kind,
                                       upstream_outcome outcome, time_point now) {
  EndKey(rows_.find(id)->second, key_state::kNotRun, 0, now);
  const attempt_row row = Remove(id, outcome, now);
  Observe(row, kind, false, now);
  if (row.is_abandoned) return;
  SendRefusal(row.exchange, id, row.is_local, kind, 0, now);
}

template <typename Rules>
void basic_owner_system<Rules>::SendRefusal(exchange_id exchange, const attempt_id& id,
                                            bool is_local, error_kind kind, int recorded_status,
                                            time_point now) {
  ++counters_.refused;
  const load_hint hint = gate_.Hint(now);
  if (is_local) {
    local_entry_.OnAttemptRefused({id, self_.id, self_.incarnation}, kind, recorded_status,
                                  hint, now);
  } else {
    peers_.RefuseAttempt(exchange, kind, recorded_status, hint);
  }
}

template <typename Rules>
void basic_owner_system<Rules>::Observe(const attempt_row& row, error_kind result,
                                        bool complete, time_point now) const {
  if (!on_end_) return;
  on_end_({.id = row.head.id,
           .request_id = row.head.request_id,
           .service = row.head.service,
           .is_local = row.is_local,
           .is_protected = row.head.is_protected,
           .is_abandoned = row.is_abandoned,
           .was_started = row.state != row_state::kQueued,
           .priority = row.head.priority,
           .config_version = row.head.config_version,
           .arrived = row.arrived,
           .started = row.started,
           .ended = now,
           .deadline = row.head.deadline,
           .result = result,
           .status = row.status,
           .complete = complete});
}

template <typename Rules>
void basic_owner_system<Rules>::SendFinish(const attempt_row& row, bool complete,
                                           time_point now) {
  if (row.is_abandoned) return;
  const load_hint hint = gate_.Hint(now);
  if (row.is_local) {
    local_entry_.OnAttemptFinished({row.head.id, self_.id, self_.incarnation}, complete, hint,
                                   now);
  } else {
    peers_.FinishAttempt(row.exchange, complete, hint);
  }
}

template <typename Rules>
template <typename Pick>
void basic_owner_system<Rules>::RefuseQueued(Pick pick, time_point now) {
  std::vector<std::pair<attempt_id, error_kind>> refused;
  for (const auto& [id, row] : rows_) {
    if (row.state != row_state::kQueued) continue;
    const error_kind kind = pick(row.head);
    if (kind != error_kind::kNone) refused.emplace_back(id, kind);
  }
  // In order of identity, so that a simulation with the same seed takes the same course.
  std::ranges::sort(refused);
  for (const auto& [id, kind] : refused) {
    const auto found = rows_.find(id);
    if (found == rows_.end() || found->second.state != row_state::kQueued) continue;
    gate_.Cancel(found->second.exchange, now);
    Refuse(id, kind, upstream_outcome::kNotStarted, now);
  }
}

template <typename Rules>
void basic_owner_system<Rules>::CheckFreeze(time_point now) {
  if (last_tick_ && now - *last_tick_ > kFreezeGap) {
    last_tick_ = now;
    OnFreeze(now);
  }
}

template <typename Rules>
void basic_owner_system<Rules>::OnFreeze(time_point now) {
  ++counters_.freezes;
  RefuseQueued(
      [now](const attempt_head& head) {
        return Rules::IsLate(head.deadline, now) ? error_kind::kQueueTimeout
                                                 : error_kind::kOverloaded;
      },
      now);
}

template <typename Rules>
void basic_owner_system<Rules>::Drain(time_point now) {
  if (!drain_deadline_) drain_deadline_ = now + kDrainQueueTime;
}

template <typename Rules>
void basic_owner_system<Rules>::Tick(time_point now) {
  CheckFreeze(now);
  last_tick_ = now;
  const bool drained = drain_deadline_ && *drain_deadline_ <= now;
  RefuseQueued(
      [&](const attempt_head& head) {
        if (Rules::IsLate(head.deadline, now)) return error_kind::kQueueTimeout;
        if (!MayRunHere(head)) return error_kind::kOutsideRegions;
        return drained ? error_kind::kDraining : error_kind::kNone;
      },
      now);
  std::vector<attempt_id> late;
  for (const auto& [id, row] : rows_) {
    if (row.state == row_state::kQueued || row.is_cancelled) continue;
    const time_point last =
        row.head.deadline + (row.head.is_protected ? kProtectedFinishTime : kResponseGrace);
    if (last <= now) late.push_back(id);
  }
  std::ranges::sort(late);
  for (const attempt_id& id : late) {
    const auto found = rows_.find(id);
    if (found == rows_.end()) continue;
    found->second.is_cancelled = true;
    upstreams_.CancelUpstream(found->second.exchange, id);
  }
  keys_.Tick(now);
  record_.Tick(now);
}

}  // namespace bronzeroute
