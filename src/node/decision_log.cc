#include "src/node/decision_log.h"

#include <algorithm>
#include <span>

#include "absl/strings/str_format.h"
#include "src/accounts/usage_counters.h"
#include "src/admission/admission_system.h"
#include "src/base/error_response.h"
#include "src/calls/call_id_text.h"
#include "src/calls/call_record.h"
#include "src/calls/owner_attempt_record.h"
#include "src/configuration/configuration_event.h"
#include "src/configuration/document.h"
#include "src/configuration/document_error.h"
#include "src/configuration/folded_record.h"
#include "src/configuration/substitution.h"
#include "src/logging/log_line.h"
#include "src/logging/log_sink.h"
#include "src/membership/membership_event.h"

namespace bronzeroute {
namespace {

constexpr int kServerError = 500;
// Unknown values of a document that are listed; the others are only counted.
constexpr std::size_t kMaxListedValues = 4;
// Bytes of a malformed value that are listed.
constexpr std::size_t kMaxListedBytes = 64;

std::string MemberText(member_id id) { return absl::StrFormat("%016x", id.value); }

/// Each attempt as "member:reason:result:after_ms:took_ms:hint_age_ms".
std::string AttemptsText(const call_record& row) {
  std::string text;
  for (const call_record::attempt& attempt : row.attempts) {
    const std::chrono::duration<double, std::milli> after = attempt.sent - row.received;
    const std::chrono::duration<double, std::milli> took = attempt.ended - attempt.sent;
    absl::StrAppendFormat(
        &text, "%s%s:%s:%s:%.1f:%.1f", text.empty() ? "" : ",", MemberText(attempt.target.id),
        std::string(TargetReasonName(attempt.reason)),
        std::string(ErrorResponseFor(attempt.result).name), after.count(), took.count());
    const auto age = attempt.choice.chosen_hint_age();
    if (age) {
      const std::chrono::duration<double, std::milli> ms = *age;
      absl::StrAppendFormat(&text, ":%.0f", ms.count());
    }
  }
  return text;
}

}  // namespace

void decision_log::OnCallEnded(const call_record& row) {
  if (sink_ == nullptr) return;
  const bool is_served = row.result == error_kind::kNone && row.status < kServerError;
  log_line line(
      is_served && row.attempts.size() < 2 ? log_weight::kSuccess : log_weight::kProblem,
      "call", "call_ended");
  line.Add("request", row.request_id)
      .Add("call", FormatCallId(row.id))
      .Add("service", row.service)
      .Add("account", row.account)
      .Add("protected", row.is_protected)
      .Add("config", row.config_version)
      .Add("allowed_ms", row.deadline - row.received)
      .Add("took_ms", row.ended - row.received)
      .Add("attempts", AttemptsText(row));
  if (row.caller_left) {
    line.Add("outcome", "caller_left");
  } else {
    line.Add("outcome", ErrorResponseFor(row.result).name);
  }
  line.Add("status", row.status)
      .Add("execution", ExecutionName(ErrorResponseFor(row.result).state));
  sink_->Write(line);
}

void decision_log::OnAttemptEnded(const owner_attempt_record& row,
                                  const admission_system& state) {
  if (sink_ == nullptr) return;
  const bool is_served =
      row.result == error_kind::kNone && row.complete && row.status < kServerError;
  log_line line(is_served ? log_weight::kSuccess : log_weight::kProblem, "admit",
                "attempt_ended");
  line.Add("request", row.request_id)
      .Add("call", FormatCallId(row.id.call))
      .Add("attempt", row.id.number)
      .Add("service", row.service)
      .Add("local", row.is_local)
      .Add("config", row.config_version)
      .Add("waited_ms", (row.was_started ? row.started : row.ended) - row.arrived)
      .Add("ran_ms", row.was_started ? row.ended - row.started : duration(0))
      .Add("left_ms", row.deadline - row.ended)
      .Add("rank", row.priority)
      .Add("running", state.running())
      .Add("queued", state.queued())
      .Add("pace", state.ServiceTimePercent(row.ended))
      .Add("started", row.was_started)
      .Add("abandoned", row.is_abandoned)
      .Add("outcome", ErrorResponseFor(row.result).name)
      .Add("status", row.status)
      .Add("complete", row.complete);
  sink_->Write(line);
}

void decision_log::OnMembership(const membership_event& event) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "member", EventName(event.kind));
  line.Add("member", MemberText(event.id))
      .Add("peer", event.peer_address)
      .Add("run", event.incarnation.value);
  if (event.number != 0) line.Add("number", event.number);
  sink_->Write(line);
}

void decision_log::OnConfigurationRecord(const folded_record& record) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "config", "record_read");
  line.Add("offset", record.offset)
      .Add("version_before", record.version_before)
      .Add("verdict", RecordOutcomeName(record.outcome))
      .Add("missed", record.was_missed);
  if (!record.errors.empty()) {
    line.Add("errors", record.errors.size()).Add("first", DescribeError(record.errors.front()));
  }
  sink_->Write(line);
}

void decision_log::OnConfigurationEvent(const configuration_event& event) {
  if (sink_ == nullptr) return;
  const bool is_report = event.kind == configuration_event_kind::kNewerVersionReported;
  log_line line(log_weight::kState, "config", is_report ? "version_reported" : "fetch_failed");
  line.Add("version", event.version).Add("member", MemberText(event.peer));
  sink_->Write(line);
}

void decision_log::OnConfigurationInEffect(const document& current, std::int64_t version,
                                           std::string_view source,
                                           std::optional<duration> after_report) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "config", "in_effect");
  line.Add("version", version).Add("source", source);
  if (after_report) line.Add("after_report_ms", *after_report);
  sink_->Write(line);
  if (current.substitutions == 0) return;
  log_line replaced(log_weight::kState, "config", "values_replaced");
  replaced.Add("version", version).Add("values", current.substitutions);
  const std::span<const substitution> all = current.listed_substitutions;
  for (const substitution& each : all.first(std::min(all.size(), kMaxListedValues))) {
    replaced.Add("value", DescribeSubstitution(each));
  }
  sink_->Write(replaced);
}

void decision_log::OnUpstreamRate(std::string_view identity, std::optional<double> per_second) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "admit", per_second ? "limit_named" : "limit_ended");
  line.Add("identity", identity);
  if (per_second) line.Add("per_second", absl::StrFormat("%.3f", *per_second));
  sink_->Write(line);
}

void decision_log::OnColdLimit(std::string_view identity, double per_second,
                               std::uint64_t held) {
  if (sink_ == nullptr) return;
  const bool begins = per_second > 0;
  log_line line(log_weight::kState, "admit", begins ? "cold_limit_began" : "cold_limit_ended");
  line.Add("identity", identity);
  if (begins) line.Add("per_second", absl::StrFormat("%.3f", per_second));
  line.Add("held", held);
  sink_->Write(line);
}

void decision_log::OnEvacuation(std::string_view zone, bool begins, std::size_t members,
                                std::int64_t offset, std::string_view source) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "config", begins ? "evacuation_began" : "evacuation_ended");
  line.Add("zone", zone.substr(0, kMaxListedBytes))
      .Add("members", members)
      .Add("offset", offset)
      .Add("source", source);
  sink_->Write(line);
}

void decision_log::OnMalformedRate(std::string_view identity, std::string_view found) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kProblem, "admit", "malformed_limit");
  line.Add("identity", identity)
      .Add("found", found.substr(0, kMaxListedBytes))
      .Add("expected", "a number of requests per second, 0 or more");
  sink_->Write(line);
}

void decision_log::OnUsageRefused(std::string_view account, const usage_counters& since,
                                  std::size_t accounts) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "usage", "cap_reached");
  line.Add("account", account)
      .Add("refused", since.refused)
      .Add("granted", since.granted)
      .Add("borrowed", since.borrowed)
      .Add("lent", since.lent)
      .Add("accounts", accounts);
  sink_->Write(line);
}

void decision_log::OnLogRestored(std::string_view stream) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "config", "log_restored");
  sink_->Write(line.Add("stream", stream));
}

void decision_log::OnDepartureNotRecorded(std::size_t waits) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "admit", "departure_not_recorded");
  sink_->Write(line.Add("reports_not_acknowledged", waits));
}

void decision_log::OnUpstream(std::string_view event, std::string_view identity,
                              std::string_view address, std::uint64_t sequence) {
  if (sink_ == nullptr) return;
  log_line line(log_weight::kState, "admit", event);
  line.Add("identity", identity).Add("address", address).Add("sequence", sequence);
  sink_->Write(line);
}

}  // namespace bronzeroute
