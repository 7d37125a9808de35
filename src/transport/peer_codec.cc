#include "src/transport/peer_codec.h"

#include <algorithm>
#include <limits>

#include "src/calls/attempt_head.h"
#include "src/transport/exchange.h"

namespace bronzeroute {

proto::AttemptId ToProto(const attempt_id& id) {
  proto::AttemptId to;
  to.set_entry(id.call.entry.value);
  to.set_entry_incarnation(id.call.entry_incarnation.value);
  to.set_sequence(id.call.sequence);
  to.set_number(id.number);
  return to;
}

attempt_id FromProto(const proto::AttemptId& id) {
  return {{member_id{id.entry()}, incarnation_id{id.entry_incarnation()}, id.sequence()},
          id.number()};
}

proto::LoadHint ToProto(const load_hint& hint) {
  proto::LoadHint to;
  to.set_sequence(hint.sequence);
  to.set_effective_slots(hint.effective_slots);
  to.set_in_use(hint.in_use);
  to.set_running_long(hint.running_long);
  to.set_queued_short(hint.queued_short);
  to.set_queued_long(hint.queued_long);
  to.set_service_time_us(hint.service_time_us);
  to.set_max_rate(hint.max_rate);
  to.set_start_wait_us(hint.start_wait_us);
  to.set_failing(hint.failing);
  to.set_draining(hint.draining);
  to.set_evacuated(hint.evacuated);
  return to;
}

load_hint FromProto(const proto::LoadHint& hint) {
  load_hint to;
  to.sequence = hint.sequence();
  to.effective_slots = hint.effective_slots();
  to.in_use = hint.in_use();
  to.running_long = hint.running_long();
  to.queued_short = hint.queued_short();
  to.queued_long = hint.queued_long();
  to.service_time_us = hint.service_time_us();
  to.max_rate = SoundRate(hint.max_rate());
  to.start_wait_us = hint.start_wait_us();
  to.failing = hint.failing();
  to.draining = hint.draining();
  to.evacuated = hint.evacuated();
  return to;
}

void SetHint(const load_hint& hint, proto::AnswerFrame& frame) {
  if (hint.sequence != 0) *frame.mutable_hint() = ToProto(hint);
}

owner_report ReportOf(const proto::AnswerFrame& frame) {
  owner_report report;
  if (frame.has_hint()) report.hint = FromProto(frame.hint());
  report.config_version = frame.config_version();
  return report;
}

void WriteHead(const attempt_head& head, const exchange& row, time_point now,
               proto::AttemptHead& to) {
  to.set_target(head.target.value);
  to.set_target_incarnation(head.target_incarnation.value);
  to.set_service(head.service);
  to.set_method(head.method);
  to.set_path(head.path);
  to.set_key(head.key);
  to.set_caller_try(head.caller_try);
  to.set_depth(head.depth);
  to.set_is_protected(head.is_protected);
  to.set_is_long(head.is_long);
  if (row.content_length.has_value()) to.set_content_length(*row.content_length);
  to.set_remaining_us(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, (head.deadline - now).count())));
  to.set_objective_us(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, (head.objective - now).count())));
  to.set_priority(head.priority);
  to.set_request_id(head.request_id);
  to.set_route_id(head.route_id);
  if (head.other_cost) {
    to.set_other_cost_us(static_cast<std::uint64_t>(head.other_cost->count()));
  }
  to.set_config_version(head.config_version);
  to.set_account(head.account);
  to.set_account_priority(head.account_priority);
  WriteHeaders(row.headers, to);
}

void ReadHead(const proto::AttemptFrame& frame, time_point now, attempt_head& head,
              exchange& row) {
  const proto::AttemptHead& from = frame.head();
  head.id = FromProto(frame.id());
  head.target = member_id{from.target()};
  head.target_incarnation = incarnation_id{from.target_incarnation()};
  head.service = from.service();
  head.method = from.method();
  head.path = from.path();
  head.key = from.key();
  head.caller_try = from.caller_try();
  head.depth = from.depth();
  head.is_protected = from.is_protected();
  head.is_long = from.is_long();
  if (from.has_content_length()) head.content_length = from.content_length();
  // Limited to one day, so that no value from a peer can overflow the clock.
  constexpr std::uint64_t kMaxRemainingUs = 86'400'000'000;
  head.deadline = now + duration(std::min(from.remaining_us(), kMaxRemainingUs));
  head.objective = now + duration(std::min(from.objective_us(), kMaxRemainingUs));
  head.priority = from.priority();
  head.request_id = from.request_id();
  head.route_id = from.route_id();
  if (from.has_other_cost_us()) {
    head.other_cost = duration(std::min(from.other_cost_us(), kMaxRemainingUs));
  }
  head.config_version = from.config_version();
  head.account = from.account();
  head.account_priority = from.account_priority();
  row.method = head.method;
  row.path = head.path;
  row.headers = ReadHeaders(from);
  row.content_length = head.content_length;
  row.depth = head.depth;
}

}  // namespace bronzeroute
