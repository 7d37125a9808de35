#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/daemon/daemon_parts.h"
#include "src/daemon/settings.h"
#include "src/membership/member_row.h"
#include "src/node/node_runtime.h"
#include "src/node/peer_link_port.h"
#include "src/transport/admin_server.h"
#include "src/transport/http_router.h"
#include "src/transport/transport.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {

class log_writer;

/// One daemon: connects the decision logic to its sockets, the log and the clock.
class daemon final : private transport_events,
                     private configuration_peer_port,
                     private peer_link_port {
 public:
  /// `events` must outlive the daemon.
  daemon(const settings& options, const daemon_parts& parts, log_writer& events);
  ~daemon() override;
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Opens all addresses and starts serving. Must not be called on the event loop.
  absl::Status Start();
  /// Begins a graceful shutdown: new work is refused, work in flight completes, then `stopped`
  /// becomes true. Must not be called on the event loop.
  void BeginStop();
  /// True once no request is open and the leave record is written or was waited for long
  /// enough. Open requests have no time limit here: each ends by its own deadline, and whoever
  /// stops the process decides how long it may take. Call it on the event loop.
  bool stopped() const { return stopped_; }
  /// Closes all connections, listeners and the log client. Must not be called on the event
  /// loop.
  void Close();
  /// Applies changed settings; those that need a restart are only logged. Call it on the event
  /// loop.
  void Reload(const settings& changed);

 private:
  void OnCallerRequest(const caller_request& request, time_point now) override;
  void OnCallerDisconnected(exchange_id exchange, time_point now) override;
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now) override;
  void OnEntryDisconnected(exchange_id exchange, const attempt_id& attempt,
                           time_point now) override;
  void OnAttemptAdmitted(exchange_id exchange, const attempt_id& attempt,
                         const owner_report& report, time_point now) override;
  void OnAttemptRefused(exchange_id exchange, const attempt_id& attempt, error_kind kind,
                        int recorded_status, const owner_report& report,
                        time_point now) override;
  void OnResponseHead(exchange_id exchange, const attempt_id& attempt, int status,
                      const owner_report& report, time_point now) override;
  void OnAttemptFinished(exchange_id exchange, const attempt_id& attempt, bool complete,
                         const owner_report& report, time_point now) override;
  void OnAttemptLost(exchange_id exchange, const attempt_id& attempt, time_point now) override;
  void OnAttemptNotSent(exchange_id exchange, const attempt_id& attempt,
                        time_point now) override;
  void OnUpstreamConnectFailed(exchange_id exchange, const attempt_id& attempt,
                               time_point now) override;
  void OnUpstreamResponseHead(exchange_id exchange, const attempt_id& attempt, int status,
                              time_point now) override;
  void OnUpstreamEnded(exchange_id exchange, const attempt_id& attempt, bool complete,
                       time_point now) override;
  void OnUpstreamLost(exchange_id exchange, const attempt_id& attempt, time_point now) override;
  void OnUpstreamRefused(exchange_id exchange, const attempt_id& attempt,
                         time_point now) override;
  void OnUpstreamLoad(const load_report& report, time_point now) override;
  void OnUpstreamNotice(const upstream_notice& notice, time_point now) override;
  void OnStrayResponse(exchange_id exchange, const attempt_id& attempt,
                       time_point now) override;
  void OnDatagram(std::string_view from, std::string_view payload, time_point now) override;

  void FetchSnapshot(member_id peer, std::int64_t known_version) override;
  void OpenPeer(member_id peer, std::string_view address, bool keeps_open) override;
  void ClosePeer(member_id peer) override;
  void SetUpstream(std::string_view address, std::string_view identity) override;

  absl::Status StartServers();
  void AddEndpoints();
  void ApplyLimits();
  log_listener MakeLogListener();
  void ScheduleTick();
  void Tick();
  /// Shows the number of pipelined requests in the metrics, and logs it from time to time.
  void ReportPipelined(time_point now);
  /// Closes the callers' listener after the linger time, and sets `stopped_` once nothing is
  /// open.
  void TickStop(time_point now);
  /// Forwards the report that an owner sent with its response to the runtime.
  void ForwardOwnerReport(const owner_message_identity& from, const owner_report& report,
                          time_point now);

  void LogReload(std::string_view what, std::string_view effect);

  log_writer& events_;
  settings settings_;
  member_row self_;
  daemon_parts parts_;
  transport transport_;
  http_router announcement_endpoints_;
  http_router ready_endpoints_;
  admin_server announcements_;
  admin_server readiness_;
  std::int64_t limits_version_ = -1;
  std::unique_ptr<log_port> log_;
  node_runtime runtime_;
  boost::asio::steady_timer timer_;
  std::uint64_t pipelined_logged_ = 0;
  time_point next_pipelined_log_{};
  time_point stop_began_{};
  /// The callers' listener is closed: no further connection is accepted.
  bool callers_closed_ = false;
  /// Time until which connections accepted last may still send a request.
  time_point end_at_{};
  /// Time at which the daemon stops waiting for its leave record.
  time_point leave_limit_{};
  bool closed_ = false;
  std::atomic<bool> stopped_{false};
};

}  // namespace bronzeroute
