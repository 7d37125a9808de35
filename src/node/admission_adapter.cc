#include "src/node/admission_adapter.h"

#include "src/admission/upstream_notice.h"
#include "src/calls/admission_listener.h"
#include "src/calls/attempt_head.h"
#include "src/calls/call_times.h"
#include "src/configuration/service_spec.h"
#include "src/membership/upstream_announcement.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

namespace {

// Time in which a process that was frozen handles what its sockets hold: responses of the log
// and datagrams of peers.
constexpr duration kHoldAfterFreeze = std::chrono::milliseconds(500);

}  // namespace

bool admission_adapter::IsHeld(time_point now) const {
  if (!holds_after_freeze_) return false;
  return now < held_until_ || (last_tick_ && now - *last_tick_ > kFreezeGap);
}

upstream_result admission_adapter::ResultOf(upstream_outcome outcome) const {
  switch (outcome) {
    case upstream_outcome::kCompleted:
      return upstream_result::kCompleted;
    case upstream_outcome::kNotStarted:
    case upstream_outcome::kCancelled:
      return upstream_result::kCancelled;
    case upstream_outcome::kFailed:
      return eject_on_error_answers_ ? upstream_result::kFailed : upstream_result::kCancelled;
    case upstream_outcome::kConnectFailed:
    case upstream_outcome::kLost:
      break;
  }
  return upstream_result::kFailed;
}

void admission_adapter::Configure(const service_spec& spec,
                                  const upstream_announcement& upstream, bool is_allowed,
                                  time_point now) {
  now_ = now;
  is_allowed_ = is_allowed;
  service_ = spec.name;
  system_.Configure(spec, upstream.slots, upstream.connections, now);
}

void admission_adapter::EndDrain(time_point now) {
  now_ = now;
  system_.OnUpstreamReplaced(now);
}

void admission_adapter::SetWarmAt(time_point warm_at, time_point now) {
  now_ = now;
  system_.SetWarmAt(warm_at, now);
}

void admission_adapter::OnUpstreamReplaced(time_point now) {
  now_ = now;
  if (!system_.draining()) system_.OnUpstreamReplaced(now);
}

bool admission_adapter::HasFreeSlot(std::string_view service, bool is_long, time_point now) {
  if (service != service_ || !is_allowed_ || is_evacuated_ || IsHeld(now) ||
      system_.draining()) {
    return false;
  }
  if (system_.health(now) != ejection_state::kClear || system_.queued() > 0 ||
      system_.IsSlow(now) || !system_.RateAllowsStart(now)) {
    return false;
  }
  if (is_long && system_.running_long() >= system_.LongLimit(now)) {
    return false;
  }
  return system_.running() < system_.EffectiveSlots(now);
}

admission_result admission_adapter::Submit(exchange_id exchange, const attempt_head& head,
                                           time_point now) {
  now_ = now;
  if (is_evacuated_) {
    return {admission_result::state::kRefused, error_kind::kEvacuated};
  }
  if (IsHeld(now)) return {admission_result::state::kRefused, error_kind::kOverloaded};
  if (service_.empty()) {
    // No announcement has arrived yet, or the upstream stopped announcing itself.
    return {admission_result::state::kRefused, error_kind::kDraining};
  }
  admission_result result;
  if (head.service == service_ && !is_allowed_) {
    result.kind = error_kind::kWrongService;
    return result;
  }
  const submit_result submitted = system_.Submit(exchange, head, now);
  switch (submitted.state) {
    case submit_state::kStarted:
      result.decision = admission_result::state::kStarted;
      started_[exchange] = now;
      break;
    case submit_state::kQueued:
      result.decision = admission_result::state::kQueued;
      break;
    case submit_state::kRefused:
      result.decision = admission_result::state::kRefused;
      result.kind = submitted.kind;
      break;
  }
  return result;
}

void admission_adapter::Cancel(exchange_id exchange, time_point now) {
  now_ = now;
  system_.Cancel(exchange, now);
}

void admission_adapter::OnUpstreamEnded(exchange_id exchange, upstream_outcome outcome,
                                        time_point now) {
  now_ = now;
  const auto started = started_.find(exchange);
  upstream_end end;
  end.result = ResultOf(outcome);
  end.service_time = started == started_.end() ? duration{} : now - started->second;
  if (started != started_.end()) {
    started_.erase(started);
  }
  system_.OnUpstreamEnded(exchange, end, now);
}

void admission_adapter::OnNotice(const upstream_notice& notice, time_point now) {
  now_ = now;
  if (notice.max_rate) {
    system_.SetMaxRate(*notice.max_rate, now);
  } else if (notice.is_complete && notice.malformed_rate.empty()) {
    system_.EndMaxRate(notice.asked, now);
  }
}

void admission_adapter::Drain(time_point now) {
  now_ = now;
  system_.Drain(now);
}

void admission_adapter::SetEvacuated(bool is_evacuated, time_point now) {
  if (is_evacuated == is_evacuated_) return;
  now_ = now;
  is_evacuated_ = is_evacuated;
  if (is_evacuated) {
    system_.RefuseAllQueued(error_kind::kEvacuated, now);
  } else {
    system_.AssumeCold(now);
  }
}

load_hint admission_adapter::Hint(time_point now) {
  load_hint hint = system_.Hint(now);
  hint.evacuated = is_evacuated_;
  return hint;
}

void admission_adapter::Tick(time_point now) {
  now_ = now;
  if (IsHeld(now) && now >= held_until_) held_until_ = now + kHoldAfterFreeze;
  last_tick_ = now;
  system_.Tick(now);
}

void admission_adapter::OnQueuedStarted(exchange_id exchange) {
  started_[exchange] = now_;
  listener_->OnQueuedStart(exchange, now_);
}

void admission_adapter::OnQueuedRefused(exchange_id exchange, error_kind kind) {
  listener_->OnQueuedRefused(exchange, kind, now_);
}

}  // namespace bronzeroute
