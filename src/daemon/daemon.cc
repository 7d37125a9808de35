#include "src/daemon/daemon.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <chrono>
#include <random>
#include <utility>

#include "src/base/concat.h"
#include "src/calls/attempt_head.h"
#include "src/calls/call_id_text.h"
#include "src/calls/caller_request.h"
#include "src/calls/owner_message_identity.h"
#include "src/daemon/admin_endpoints.h"
#include "src/logging/log_line.h"
#include "src/logging/log_writer.h"
#include "src/node/runtime_ports.h"
#include "src/node/runtime_settings.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/owner_report.h"

namespace bronzeroute {
namespace {

// Period of the tick, which enforces deadlines and runs periodic work. Calls are handled as
// their events arrive, without waiting for a tick.
constexpr auto kTickPeriod = std::chrono::milliseconds(10);
// Minimum time between log lines about pipelined requests.
constexpr auto kPipelinedLogPeriod = std::chrono::seconds(30);
// Longest time that a stopping daemon waits for its leave record after its last call ended.
constexpr auto kLeaveLimit = std::chrono::seconds(5);
// Time in which connections accepted just before the listener closed may still send a request.
constexpr auto kLastRequestTime = std::chrono::milliseconds(200);

// Version of the format of log lines; raised when the meaning of a field changes.
constexpr int kLogFormat = 1;
// A read of the log counts as failed when it takes longer than its wait plus this time.
constexpr auto kReadMargin = std::chrono::seconds(8);

member_id IdOf(std::string_view peers_address) {
  return {XXH64(peers_address.data(), peers_address.size(), 0)};
}

member_row SelfRow(const settings& options) {
  member_row row;
  row.id = IdOf(options.peers_address);
  row.incarnation.value = static_cast<std::uint64_t>(UnixMilliseconds());
  row.region = options.region;
  row.availability_zone = options.availability_zone;
  row.peer_address = options.peers_address;
  row.membership_address = options.membership_address;
  row.callers_address = options.callers_address;
  row.admin_address = options.admin_address;
  return row;
}

runtime_settings RuntimeSettings(const settings& options, const daemon_parts& parts) {
  std::random_device entropy;
  const std::uint64_t high = entropy();
  return {.environment = options.environment,
          .seeds = options.seeds,
          .seed = (high << 32) | entropy(),
          .form = parts.form,
          .read_document = parts.read_document,
          .configuration_read_pause = options.configuration_read_pause,
          .log_read_time = options.log_wait + kReadMargin,
          .join_spread = options.join_spread,
          .member_read_pause = options.member_read_pause,
          .slot_share = options.slot_share,
          .costs = options.costs,
          .eject_on_error_answers = options.eject_on_error_answers,
          .retries = options.retries,
          .stop_linger = options.stop_linger};
}

}  // namespace

daemon::daemon(const settings& options, const daemon_parts& parts, log_writer& events)
    : events_(events),
      settings_(options),
      self_(SelfRow(options)),
      parts_(parts),
      transport_(*this, parts.dialect),
      announcements_(announcement_endpoints_),
      readiness_(ready_endpoints_),
      log_(parts.open_log(options, MakeLogListener())),
      runtime_(self_, RuntimeSettings(options, parts),
               runtime_ports{.callers = transport_.callers(),
                             .peers = transport_.peers(),
                             .upstreams = transport_.upstream(),
                             .datagrams = transport_.datagrams(),
                             .log = *log_,
                             .configuration_peers = *this,
                             .links = *this,
                             .events = &events},
               MonotonicNow()),
      timer_(LoopService()) {
  AddEndpoints();
  transport_.peers().server().SetSnapshotSource([this](std::int64_t known_version) {
    return runtime_.configuration().SnapshotFor(known_version);
  });
}

daemon::~daemon() { Close(); }

absl::Status daemon::Start() {
  absl::Status status = transport_.Start({.callers = settings_.callers_address,
                                          .peers = settings_.peers_address,
                                          .membership = settings_.membership_address,
                                          .admin = settings_.admin_address});
  if (status.ok()) status = StartServers();
  if (!status.ok()) {
    return status;
  }
  SetErrorHandler([this](std::string_view error) {
    log_line line(log_weight::kState, "daemon", "unexpected_error");
    events_.Write(line.Add("error", error));
  });
  RunOnLoop([this] {
    transport_.callers().SetCallerService(settings_.service);
    transport_.callers().SetConcurrencyRule([this](const exchange& row) {
      return runtime_.MayRunConcurrently(row.method, row.host, row.path);
    });
    Tick();
  });
  RunOnLoop([this] {
    log_line line(log_weight::kState, "daemon", "started");
    line.Add("version", BRONZEROUTE_VERSION)
        .Add("log_format", kLogFormat)
        .Add("callers", settings_.callers_address)
        .Add("member", absl::StrFormat("%016x", self_.id.value))
        .Add("run", self_.incarnation.value);
    events_.Write(line);
  });
  return absl::OkStatus();
}

absl::Status daemon::StartServers() {
  absl::Status status = absl::OkStatus();
  if (!settings_.announcements_address.empty()) {
    status = announcements_.Start(settings_.announcements_address);
  }
  if (status.ok() && !settings_.ready_address.empty()) {
    status = readiness_.Start(settings_.ready_address);
  }
  return status;
}

void daemon::BeginStop() {
  RunOnLoop([this] {
    events_.Write({log_weight::kState, "daemon", "stopping"});
    runtime_.Stop(MonotonicNow());
    transport_.callers().server().BeginClosing();
  });
}

void daemon::Reload(const settings& changed) {
  const bool needs_restart = changed.callers_address != settings_.callers_address ||
                             changed.peers_address != settings_.peers_address ||
                             changed.membership_address != settings_.membership_address ||
                             changed.admin_address != settings_.admin_address ||
                             changed.environment != settings_.environment;
  if (needs_restart) {
    LogReload("addresses or environment", "at the next start");
  }
  if (changed.log_address != settings_.log_address) {
    LogReload("address of the log", "at the next start");
  }
  if (changed.service != settings_.service) {
    settings_.service = changed.service;
    transport_.callers().SetCallerService(settings_.service);
    LogReload("service", "now");
  }
  LogReload("settings", "read");
}

void daemon::LogReload(std::string_view what, std::string_view effect) {
  log_line line(log_weight::kState, "daemon", "reloaded");
  line.Add("what", what).Add("effect", effect);
  events_.Write(line);
}

void daemon::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  SetErrorHandler(nullptr);
  RunOnLoop([this] { timer_.cancel(); });
  announcements_.Stop();
  readiness_.Stop();
  transport_.Stop();
  RunOnLoop([this] { log_ = nullptr; });
}

void daemon::ScheduleTick() {
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void daemon::Tick() {
  // Also after an exception, since everything that waits depends on the tick.
  const absl::Cleanup next = [this] { ScheduleTick(); };
  const time_point now = MonotonicNow();
  log_->Tick(now);
  transport_.Tick(now);
  announcements_.Tick(now);
  readiness_.Tick(now);
  runtime_.Tick(now);
  ApplyLimits();
  ReportPipelined(now);
  transport_.peers().server().SetConfigVersion(runtime_.configuration().version());
  transport_.peers().server().SetSelf({self_.id, runtime_.incarnation()});
  if (runtime_.stopping()) TickStop(now);
  events_.Tick(now);
}

void daemon::ReportPipelined(time_point now) {
  const std::uint64_t total = transport_.callers().pipelined_requests();
  runtime_.SetPipelinedRequests(total);
  if (total == pipelined_logged_ || now < next_pipelined_log_) return;
  pipelined_logged_ = total;
  next_pipelined_log_ = now + kPipelinedLogPeriod;
  log_line line(log_weight::kState, "callers", "pipelined_requests");
  events_.Write(line.Add("total", total));
}

void daemon::TickStop(time_point now) {
  if (stop_began_ == time_point{}) stop_began_ = now;
  // After the linger time no request is accepted, so that callers which keep sending cannot
  // delay the exit; requests accepted before are completed.
  if (!callers_closed_ && now >= stop_began_ + settings_.stop_linger) {
    callers_closed_ = true;
    transport_.callers().server().EndListening();
    end_at_ = now + kLastRequestTime;
    events_.Write({log_weight::kState, "daemon", "callers_ended"});
  }
  if (!callers_closed_ || now < end_at_) return;
  // A request that arrives later could be cut off at the end of the platform's grace.
  transport_.callers().EndRequests();
  if (transport_.open_exchanges() > 0) return;
  if (leave_limit_ == time_point{}) leave_limit_ = now + kLeaveLimit;
  if (runtime_.MayExit() || now >= leave_limit_) stopped_ = true;
}

void daemon::ApplyLimits() {
  if (limits_version_ == runtime_.configuration().version()) return;
  limits_version_ = runtime_.configuration().version();
  const auto current = runtime_.configuration().current();
  if (current == nullptr) return;
  const caller_limits& named = current->limits;
  http_limits limits;
  if (named.head_bytes > 0) limits.head_bytes = named.head_bytes;
  if (named.body_bytes > 0) limits.body_bytes = named.body_bytes;
  if (named.head_time > duration(0)) limits.head_time = named.head_time;
  if (named.idle_time > duration(0)) limits.idle_time = named.idle_time;
  transport_.callers().server().SetLimits(limits);
}

void daemon::AddEndpoints() {
  AddAdminEndpoints(transport_.admin_endpoints(), runtime_, settings_);
  if (parts_.add_endpoints) {
    parts_.add_endpoints(announcement_endpoints_, runtime_, events_);
  }
  AddReadyEndpoint(ready_endpoints_, runtime_);
  AddCallerEndpoints(transport_.caller_endpoints(), runtime_);
}

log_listener daemon::MakeLogListener() {
  return {.on_read = [this](const log_read& read) { runtime_.OnLogRead(read, MonotonicNow()); },
          .on_read_failed =
              [this](const std::string& stream, const absl::Status&) {
                runtime_.OnLogFailed(stream, MonotonicNow());
              },
          .on_append =
              [this](std::uint64_t token, const absl::StatusOr<std::int64_t>& offset) {
                runtime_.OnAppendResult(token, offset.ok(), MonotonicNow());
              }};
}

void daemon::ForwardOwnerReport(const owner_message_identity& from, const owner_report& report,
                                time_point now) {
  runtime_.OnPeerReport(from, report.config_version, now);
}

void daemon::OnCallerRequest(const caller_request& request, time_point now) {
  runtime_.calls().OnCallerRequest(request, now);
}

void daemon::OnCallerDisconnected(exchange_id exchange, time_point now) {
  runtime_.calls().OnCallerDisconnected(exchange, now);
}

void daemon::OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now) {
  runtime_.OnPeerAttempt(exchange, head, now);
}

void daemon::OnEntryDisconnected(exchange_id exchange, const attempt_id& /*attempt*/,
                                 time_point now) {
  runtime_.OnEntryDisconnected(exchange, now);
}

void daemon::OnAttemptAdmitted(exchange_id /*exchange*/, const attempt_id& attempt,
                               const owner_report& report, time_point now) {
  const owner_message_identity from{attempt, report.owner, report.owner_incarnation};
  runtime_.calls().OnAttemptAdmitted(from, report.hint.value_or(load_hint{}), now);
  ForwardOwnerReport(from, report, now);
}

void daemon::OnAttemptRefused(exchange_id /*exchange*/, const attempt_id& attempt,
                              error_kind kind, int recorded_status, const owner_report& report,
                              time_point now) {
  const owner_message_identity from{attempt, report.owner, report.owner_incarnation};
  runtime_.calls().OnAttemptRefused(from, kind, recorded_status,
                                    report.hint.value_or(load_hint{}), now);
  ForwardOwnerReport(from, report, now);
}

void daemon::OnResponseHead(exchange_id /*exchange*/, const attempt_id& attempt, int status,
                            const owner_report& report, time_point now) {
  runtime_.calls().OnResponseHead({attempt, report.owner, report.owner_incarnation}, status,
                                  now);
}

void daemon::OnAttemptFinished(exchange_id /*exchange*/, const attempt_id& attempt,
                               bool complete, const owner_report& report, time_point now) {
  const owner_message_identity from{attempt, report.owner, report.owner_incarnation};
  runtime_.calls().OnAttemptFinished(from, complete, report.hint.value_or(load_hint{}), now);
  ForwardOwnerReport(from, report, now);
}

void daemon::OnAttemptLost(exchange_id /*exchange*/, const attempt_id& attempt,
                           time_point now) {
  runtime_.calls().OnAttemptLost(attempt, true, now);
}

void daemon::OnAttemptNotSent(exchange_id /*exchange*/, const attempt_id& attempt,
                              time_point now) {
  runtime_.calls().OnAttemptLost(attempt, false, now);
}

void daemon::OnUpstreamConnectFailed(exchange_id /*exchange*/, const attempt_id& attempt,
                                     time_point now) {
  runtime_.calls().OnUpstreamConnectFailed(attempt, now);
}

void daemon::OnUpstreamResponseHead(exchange_id /*exchange*/, const attempt_id& attempt,
                                    int status, time_point now) {
  runtime_.calls().OnUpstreamResponseHead(attempt, status, now);
}

void daemon::OnUpstreamEnded(exchange_id /*exchange*/, const attempt_id& attempt, bool complete,
                             time_point now) {
  runtime_.calls().OnUpstreamEnded(attempt, complete, now);
}

void daemon::OnUpstreamLost(exchange_id /*exchange*/, const attempt_id& attempt,
                            time_point now) {
  runtime_.calls().OnUpstreamLost(attempt, now);
}

void daemon::OnUpstreamRefused(exchange_id /*exchange*/, const attempt_id& attempt,
                               time_point now) {
  runtime_.calls().OnUpstreamRefused(attempt, now);
}

void daemon::OnUpstreamLoad(const load_report& report, time_point now) {
  runtime_.OnUpstreamLoad(report, now);
}

void daemon::OnUpstreamNotice(const upstream_notice& notice, time_point now) {
  runtime_.OnUpstreamNotice(notice, now);
}

void daemon::OnStrayResponse(exchange_id /*exchange*/, const attempt_id& attempt,
                             time_point /*now*/) {
  log_line line(log_weight::kProblem, "call", "stray_answer_dropped");
  line.Add("call", FormatCallId(attempt.call)).Add("attempt", attempt.number);
  events_.Write(line);
}

void daemon::OnDatagram(std::string_view from, std::string_view payload, time_point now) {
  runtime_.OnDatagram(from, payload, now);
}

void daemon::FetchSnapshot(member_id peer, std::int64_t known_version) {
  transport_.peers().client().FetchConfiguration(
      peer, known_version, [this, peer](const absl::StatusOr<std::string>& record) {
        const time_point now = MonotonicNow();
        if (record.ok()) {
          runtime_.OnSnapshot(peer, *record, now);
        } else {
          const std::string reason{record.status().message()};
          log_line line(log_weight::kState, "config", "fetch_error");
          line.Add("member", absl::StrFormat("%016x", peer.value)).Add("reason", reason);
          events_.Write(line);
          runtime_.OnSnapshotFailed(peer, now);
        }
      });
}

void daemon::OpenPeer(member_id peer, std::string_view address, bool keeps_open) {
  transport_.peers().client().OpenPeer(peer, address, keeps_open);
}

void daemon::ClosePeer(member_id peer) { transport_.peers().client().ClosePeer(peer); }

void daemon::SetUpstream(std::string_view address, std::string_view identity) {
  transport_.upstream().SetUpstream(address, identity);
}

}  // namespace bronzeroute
