#include "src/daemon/daemon.h"

#include <xxhash.h>

#include <chrono>
#include <random>
#include <utility>

#include "src/base/concat.h"
#include "src/calls/answer_identity.h"
#include "src/calls/attempt_head.h"
#include "src/calls/caller_request.h"
#include "src/daemon/admin_endpoints.h"
#include "src/daemon/logging.h"
#include "src/node/runtime_ports.h"
#include "src/node/runtime_settings.h"
#include "src/transport/event_loop.h"
#include "src/transport/listening_socket.h"
#include "src/transport/owner_report.h"

namespace bronzeroute {
namespace {

// The tick drives deadlines and periodic work; calls never wait for it.
constexpr auto kTickPeriod = std::chrono::milliseconds(10);
// A daemon that stops waits this long for the leave record after its last call ended.
constexpr auto kLeaveLimit = std::chrono::seconds(5);
// Time for connections that were accepted just before the listener closed to send their
// request.
constexpr auto kLastRequests = std::chrono::milliseconds(200);

member_id IdOf(std::string_view peers_address) {
  return {XXH64(peers_address.data(), peers_address.size(), 0)};
}

member_row SelfRow(const settings& options) {
  member_row row;
  row.id = IdOf(options.peers_address);
  row.run.value =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
  row.region = options.region;
  row.availability_zone = options.availability_zone;
  row.peer_address = options.peers_address;
  row.membership_address = options.membership_address;
  row.callers_address = options.callers_address;
  row.admin_address = options.admin_address;
  return row;
}

runtime_settings RuntimeSettings(const settings& options) {
  std::random_device entropy;
  const std::uint64_t high = entropy();
  return {.environment = options.environment,
          .seeds = options.seeds,
          .seed = (high << 32) | entropy()};
}

}  // namespace

daemon::daemon(const settings& options)
    : settings_(options),
      self_(SelfRow(options)),
      transport_(*this),
      log_(options.log_address, MakeLogListener()),
      runtime_(self_, RuntimeSettings(options),
               runtime_ports{.callers = transport_.callers(),
                             .peers = transport_.peers(),
                             .upstreams = transport_.upstream(),
                             .datagrams = transport_.datagrams(),
                             .log = log_,
                             .configuration_peers = *this,
                             .links = *this},
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
  if (!status.ok()) {
    return status;
  }
  RunOnLoop([this] { Tick(); });
  LogInfo(Concat("daemon: listening for callers on ", settings_.callers_address));
  return absl::OkStatus();
}

void daemon::BeginStop() {
  RunOnLoop([this] {
    LogInfo("daemon: stopping, work in flight goes on");
    runtime_.Stop(MonotonicNow());
  });
}

void daemon::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  RunOnLoop([this] { timer_.cancel(); });
  transport_.StopLinks();
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
  const time_point now = MonotonicNow();
  runtime_.Tick(now);
  transport_.peers().server().SetConfigVersion(runtime_.configuration().version());
  for (const std::string& line : runtime_.TakeLines()) {
    LogInfo(line);
  }
  if (runtime_.stopping() && transport_.open_exchanges() == 0) {
    if (stop_limit_ == time_point{}) {
      stop_limit_ = now + kLeaveLimit;
    }
    if (runtime_.MayExit() || now >= stop_limit_) {
      EndCallers(now);
    }
  }
  ScheduleTick();
}

void daemon::EndCallers(time_point now) {
  if (end_at_ == time_point{}) {
    if (EndListening(settings_.callers_address)) {
      end_at_ = now + kLastRequests;
    }
  } else if (now >= end_at_) {
    stopped_ = true;
  }
}

void daemon::AddEndpoints() {
  AddAdminEndpoints(transport_.admin_endpoints(), runtime_, settings_);
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

void daemon::NoteReport(const answer_identity& from, const owner_report& report,
                        time_point now) {
  runtime_.OnPeerReport(from, report.config_version, now);
}

void daemon::OnCallerRequest(const caller_request& request, time_point now) {
  runtime_.calls().OnCallerRequest(request, now);
}

void daemon::OnCallerGone(exchange_id exchange, time_point now) {
  runtime_.calls().OnCallerGone(exchange, now);
}

void daemon::OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now) {
  runtime_.OnPeerAttempt(exchange, head, now);
}

void daemon::OnPeerGone(exchange_id exchange, const attempt_id& /*attempt*/, time_point now) {
  runtime_.OnPeerGone(exchange, now);
}

void daemon::OnAttemptAdmitted(exchange_id /*exchange*/, const attempt_id& attempt,
                               const owner_report& report, time_point now) {
  const answer_identity from{attempt, report.owner, report.owner_run};
  runtime_.calls().OnAttemptAdmitted(from, report.hint.value_or(load_hint{}), now);
  NoteReport(from, report, now);
}

void daemon::OnAttemptRefused(exchange_id /*exchange*/, const attempt_id& attempt,
                              error_kind kind, int recorded_status, const owner_report& report,
                              time_point now) {
  const answer_identity from{attempt, report.owner, report.owner_run};
  runtime_.calls().OnAttemptRefused(from, kind, recorded_status,
                                    report.hint.value_or(load_hint{}), now);
  NoteReport(from, report, now);
}

void daemon::OnAnswerHead(exchange_id /*exchange*/, const attempt_id& attempt, int status,
                          const owner_report& report, time_point now) {
  runtime_.calls().OnAnswerHead({attempt, report.owner, report.owner_run}, status, now);
}

void daemon::OnAttemptFinished(exchange_id /*exchange*/, const attempt_id& attempt,
                               bool complete, const owner_report& report, time_point now) {
  const answer_identity from{attempt, report.owner, report.owner_run};
  runtime_.calls().OnAttemptFinished(from, complete, report.hint.value_or(load_hint{}), now);
  NoteReport(from, report, now);
}

void daemon::OnAttemptLost(exchange_id /*exchange*/, const attempt_id& attempt,
                           time_point now) {
  runtime_.calls().OnAttemptLost(attempt, true, now);
}

void daemon::OnUpstreamConnectFailed(exchange_id /*exchange*/, const attempt_id& attempt,
                                     time_point now) {
  runtime_.calls().OnUpstreamConnectFailed(attempt, now);
}

void daemon::OnUpstreamAnswerHead(exchange_id /*exchange*/, const attempt_id& attempt,
                                  int status, time_point now) {
  runtime_.calls().OnUpstreamAnswerHead(attempt, status, now);
}

void daemon::OnUpstreamEnded(exchange_id /*exchange*/, const attempt_id& attempt, bool complete,
                             time_point now) {
  runtime_.calls().OnUpstreamEnded(attempt, complete, now);
}

void daemon::OnUpstreamLost(exchange_id /*exchange*/, const attempt_id& attempt,
                            time_point now) {
  runtime_.calls().OnUpstreamLost(attempt, now);
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
          runtime_.OnSnapshotFailed(peer, now);
        }
      });
}

void daemon::OpenPeer(member_id peer, std::string_view address) {
  transport_.peers().client().OpenPeer(peer, address);
}

void daemon::ClosePeer(member_id peer) { transport_.peers().client().ClosePeer(peer); }

void daemon::SetUpstream(std::string_view address) {
  transport_.upstream().SetUpstream(address);
}

}  // namespace bronzeroute
