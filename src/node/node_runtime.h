#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/call_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/owner_message_identity.h"
#include "src/calls/self_identity.h"
#include "src/configuration/configuration_system.h"
#include "src/measuring/budget_account.h"
#include "src/measuring/restriction_metrics.h"
#include "src/measuring/service_metrics.h"
#include "src/membership/evacuation_set.h"
#include "src/membership/member_row.h"
#include "src/membership/membership_system.h"
#include "src/membership/upstream_announcement.h"
#include "src/membership/upstream_history.h"
#include "src/node/admission_adapter.h"
#include "src/node/decision_log.h"
#include "src/node/member_directory_adapter.h"
#include "src/node/metered_peer_port.h"
#include "src/node/node.h"
#include "src/node/route_directory_adapter.h"
#include "src/node/routing_adapter.h"
#include "src/node/usage_adapter.h"

namespace bronzeroute {

class peer_link_port;
struct attempt_head;
struct call_record;
struct caller_request;
struct load_hint;
struct load_report;
struct log_read;
struct runtime_ports;
struct runtime_settings;
struct upstream_notice;

/// All decision logic of one daemon: calls, routing, admission, membership, configuration and
/// measuring. Events enter through the functions below, effects leave through the ports. All
/// functions must be called on one thread with times that do not decrease.
class node_runtime {
 public:
  /// The ports must outlive the runtime.
  node_runtime(const member_row& self, const runtime_settings& settings,
               const runtime_ports& ports, time_point now);

  /// Handles events of callers, of other daemons and of the upstream client.
  node& calls() { return node_; }
  const node& calls() const { return node_; }

  /// An attempt from another entry arrived; its response may carry a load hint.
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now);
  void OnEntryDisconnected(exchange_id exchange, time_point now);

  /// An owner sent its configuration version with a response.
  void OnPeerReport(const owner_message_identity& from, std::int64_t config_version,
                    time_point now);

  void OnDatagram(std::string_view from, std::string_view payload, time_point now);
  void OnLogRead(const log_read& read, time_point now);
  void OnLogFailed(std::string_view stream, time_point now);
  void OnAppendResult(std::uint64_t token, bool succeeded, time_point now);
  void OnSnapshot(member_id peer, std::string_view record, time_point now);
  void OnSnapshotFailed(member_id peer, time_point now);

  /// The upstream beside this daemon announced itself. Returns false if the announcement
  /// belongs to an earlier state of the upstream and was ignored.
  bool OnAnnouncement(upstream_announcement announcement, time_point now);
  /// The incarnation of the upstream `identity` that started at `started_ms` leaves; later
  /// announcements of it are ignored. See `upstream_history::Retire` for a missing start and
  /// for `unix_ms`, the current time of day in Unix milliseconds.
  void OnUpstreamLeaving(std::string_view identity, std::optional<std::int64_t> started_ms,
                         std::int64_t unix_ms, time_point now);
  /// Calls `done` with true once the log has each departure of an upstream that this daemon
  /// acknowledges, so that the acknowledgement binds its later incarnations too; with false if
  /// that takes until `deadline`.
  void AwaitDepartureRecord(time_point deadline, std::function<void(bool)> done,
                            time_point now);
  /// The upstream reported its load with a response.
  void OnUpstreamLoad(const load_report& report, time_point now);
  /// The upstream named a limit with a response, or none, or said that it leaves.
  void OnUpstreamNotice(const upstream_notice& notice, time_point now);

  /// Refuses new work for the upstream until this process exits, and reports the drain to the
  /// peers.
  void Drain(time_point now);
  /// Begins the stop of the process: drains, then leaves the membership.
  void Stop(time_point now);
  bool stopping() const { return stopping_; }
  /// The incarnation that peers address. It may be raised after a restart.
  incarnation_id incarnation() const { return identity_.incarnation; }
  /// True if callers may send requests to this daemon: a configuration is in effect and the
  /// process is not stopping.
  bool IsReady() const { return configuration_.version() >= 0 && !stopping_; }
  /// True if a request may run beside others of its connection, since it may run more than
  /// once.
  bool MayRunConcurrently(std::string_view method, std::string_view host,
                          std::string_view path) const {
    return routes_.IsRepeatable(method, host, path);
  }
  /// Sets the total of pipelined requests that the metrics show.
  void SetPipelinedRequests(std::uint64_t total) { metrics_.SetPipelined(total); }
  /// True once no call is open, the leave had time to reach the peers, and the leave record is
  /// in the log or the log is unavailable.
  bool MayExit() const;

  void Tick(time_point now);

  const configuration_system& configuration() const { return configuration_; }
  const membership_system& membership() const { return membership_; }
  const admission_adapter& admission() const { return admission_; }
  const routing_adapter& routing() const { return routing_; }
  /// The evacuated availability zones, as far as this daemon knows them.
  const evacuation_set& evacuations() const { return evacuations_; }
  const budget_account& budget() const { return budget_; }
  const service_metrics& metrics() const { return metrics_; }
  restriction_metrics restrictions(time_point now) const;
  const usage_limiter& usage() const { return usage_.limiter(); }
  /// Number of alive members that have an upstream, this one included.
  std::size_t ServingMembers() const;

 private:
  static constexpr double kNoRate = -1;

  void ApplyConfiguration(time_point now);
  void SetObjectives(const document& current);
  void ApplyUpstream(time_point now);
  /// True for an announcement of a service that the configuration does not name, unless it is
  /// one of the upstream in use.
  bool IsFromAnotherWriter(const upstream_announcement& announcement) const;
  /// Logs the limit that the upstream names, unless it is about the one logged last.
  void LogRate(const upstream_notice& notice);
  /// Logs the begin and the end of the limit of a cold upstream.
  void LogColdLimit(time_point now);
  /// An announcement that arrived out of order says that its incarnation leaves. No incarnation
  /// takes that back, so it counts whatever was announced since.
  void OnLateLeaving(const upstream_announcement& announcement, time_point now);
  /// Processes the announcements held since the start, once departures before it are known.
  void ProcessHeldAnnouncements(time_point now);
  /// Takes over the departures that earlier incarnations of this daemon recorded.
  void ApplyPastDepartures(time_point now);
  /// Ends the waits of `AwaitDepartureRecord` that are over.
  void EndDepartureWaits(time_point now);
  /// Refuses new work for the current incarnation of the upstream.
  void DrainUpstream(time_point now);
  void ApplyMembers(time_point now);
  /// Passes the address of the upstream to the transport; none while its zone is evacuated.
  void LinkUpstream();
  /// Passes a changed set of evacuated zones to routing and admission, and logs it.
  void ApplyEvacuations(std::string_view source, time_point now);
  distance DistanceTo(member_id member) const;
  void TakeEvents();
  /// Adds an ended call to the metrics of its service.
  void CountCall(const call_record& row);

  peer_link_port& links_;
  self_identity identity_;
  budget_account budget_;
  service_metrics metrics_;
  metered_peer_port peers_;
  membership_system membership_;
  configuration_system configuration_;
  std::string evacuation_stream_;
  evacuation_set evacuations_;
  admission_adapter admission_;
  routing_adapter routing_;
  member_directory_adapter members_;
  route_directory_adapter routes_;
  decision_log decisions_;
  usage_adapter usage_;
  node node_;
  std::int64_t applied_version_ = -1;
  evacuation_set::zone_set applied_zones_;
  /// Upstream that was last passed to admission and transport.
  std::string applied_service_;
  std::string applied_address_;
  std::string applied_identity_;
  std::int64_t applied_start_ = 0;
  upstream_history history_;
  /// Announcements that arrived before the log could be read for departures.
  std::vector<upstream_announcement> held_announcements_;
  time_point hold_until_;
  struct departure_wait {
    time_point deadline;
    std::function<void(bool)> done;
  };
  std::vector<departure_wait> departure_waits_;
  /// The current incarnation of the upstream leaves.
  bool upstream_leaves_ = false;
  /// Requests per second that the upstream named last, as logged; -1 for no limit.
  double logged_rate_ = kNoRate;
  /// The limit of a cold upstream applied when it was last logged.
  bool logged_cold_ = false;
  /// An operator drained this daemon, or it is stopping.
  bool drained_ = false;
  duration stop_linger_;
  double slot_share_;
  bool had_upstream_ = false;
  std::uint32_t applied_slots_ = 0;
  std::uint32_t applied_connections_ = 0;
  struct peer_link {
    std::string address;
    bool keeps_open = false;
  };
  /// Possible targets of attempts, as last passed to the transport.
  absl::flat_hash_map<member_id, peer_link> linked_;
  time_point next_members_;
  bool members_changed_ = true;
  bool stopping_ = false;
  bool leaving_ = false;
  bool leave_propagated_ = false;
  time_point leave_at_;
  time_point leave_propagated_at_;
};

}  // namespace bronzeroute
