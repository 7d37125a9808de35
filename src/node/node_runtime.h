#pragma once

#include <cstdint>
#include <memory>
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
#include "src/measuring/service_metrics.h"
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

namespace bronzeroute {

class peer_link_port;
struct attempt_head;
struct call_log_row;
struct caller_request;
struct load_hint;
struct load_report;
struct log_read;
struct runtime_ports;
struct runtime_settings;

/// All decision logic of one daemon: calls, routing, admission, membership, configuration and
/// measuring, joined. Events go in through the functions below, effects go out through the
/// ports. All functions are called on one thread with times that do not decrease.
class node_runtime {
 public:
  /// The ports must outlive the runtime.
  node_runtime(const member_row& self, const runtime_settings& settings,
               const runtime_ports& ports, time_point now);

  /// Events of callers, of other daemons and of the upstream client. After each of them the
  /// systems that depend on its outcome are brought up to date.
  node& calls() { return node_; }
  const node& calls() const { return node_; }

  /// An attempt of another entry; also charges the hint that its response will carry.
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now);
  void OnPeerGone(exchange_id exchange, time_point now);

  /// What an owner reported beside its answer.
  void OnPeerReport(const owner_message_identity& from, std::int64_t config_version,
                    time_point now);

  void OnDatagram(std::string_view from, std::string_view payload, time_point now);
  void OnLogRead(const log_read& read, time_point now);
  void OnLogFailed(std::string_view stream, time_point now);
  void OnAppendResult(std::uint64_t token, bool succeeded, time_point now);
  void OnSnapshot(member_id peer, std::string_view record, time_point now);
  void OnSnapshotFailed(member_id peer, time_point now);

  /// The upstream beside this daemon announced itself. False if the announcement is a late one
  /// and was ignored.
  bool OnAnnouncement(upstream_announcement announcement, time_point now);
  /// The run of the upstream with `identity` leaves and announces itself no more.
  void OnUpstreamLeaving(std::string_view identity, time_point now);
  /// The upstream told its load beside an answer.
  void OnUpstreamLoad(const load_report& report, time_point now);

  /// Refuses new work for the upstream until this process ends, and tells the peers.
  void Drain(time_point now);
  /// The process stops: drains, and leaves the membership.
  void Stop(time_point now);
  bool stopping() const { return stopping_; }
  /// The run that peers address; it may be raised after a restart.
  incarnation run() const { return identity_.run; }
  /// True if callers may send requests here: a configuration is in effect and the process does
  /// not stop.
  bool IsReady() const { return configuration_.version() >= 0 && !stopping_; }
  /// True once no call is open, peers had time to hear of the leave, and the log has its record
  /// or is out.
  bool MayExit() const;

  void Tick(time_point now);

  const configuration_system& configuration() const { return configuration_; }
  const membership_system& membership() const { return membership_; }
  const admission_adapter& admission() const { return admission_; }
  const routing_adapter& routing() const { return routing_; }
  const budget_account& budget() const { return budget_; }
  const service_metrics& metrics() const { return metrics_; }
  /// Members that are alive and serve something, this one included.
  std::size_t ServingMembers() const;

 private:
  void ApplyConfiguration(time_point now);
  void SetObjectives(const document& current);
  void ApplyUpstream(time_point now);
  /// Refuses new work for the current run of the upstream.
  void DrainUpstream(time_point now);
  void ApplyMembers(time_point now);
  distance DistanceTo(member_id member) const;
  void TakeEvents();
  /// Counts an ended call for the service levels.
  void CountCall(const call_log_row& row);

  peer_link_port& links_;
  self_identity identity_;
  budget_account budget_;
  service_metrics metrics_;
  metered_peer_port peers_;
  membership_system membership_;
  configuration_system configuration_;
  admission_adapter admission_;
  routing_adapter routing_;
  member_directory_adapter members_;
  route_directory_adapter routes_;
  decision_log decisions_;
  node node_;
  std::int64_t applied_version_ = -1;
  /// Service and address of the upstream that admission and transport were told of.
  std::string applied_service_;
  std::string applied_address_;
  std::string applied_identity_;
  std::int64_t applied_start_ = 0;
  upstream_history history_;
  /// The current run of the upstream leaves.
  bool upstream_leaves_ = false;
  /// An operator drained this daemon, or it stops.
  bool drained_ = false;
  duration stop_linger_;
  double slot_share_;
  bool had_upstream_ = false;
  std::uint32_t applied_slots_ = 0;
  std::uint32_t applied_connections_ = 0;
  /// Peers whose channels are open.
  absl::flat_hash_map<member_id, std::string> linked_;
  time_point next_members_;
  bool members_changed_ = true;
  bool stopping_ = false;
  bool leaving_ = false;
  bool leave_told_ = false;
  time_point leave_at_;
  time_point leave_told_at_;
};

}  // namespace bronzeroute
