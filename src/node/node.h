#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/admission_gate.h"
#include "src/calls/call_rules.h"
#include "src/calls/entry_system.h"
#include "src/calls/key_table.h"
#include "src/calls/owner_system.h"
#include "src/calls/self_identity.h"
#include "src/calls/usage_gate.h"
#include "src/node/node_ports.h"

namespace bronzeroute {

/// The decision logic of one daemon for calls: passes each event to the entry system or the
/// owner system. Not thread-safe.
template <typename Rules>
class basic_node {
 public:
  basic_node(const self_identity& self, const node_ports& ports, std::uint64_t seed,
             std::size_t key_capacity = key_table::kDefaultCapacity)
      : gate_(ports.gate),
        usage_(ports.usage),
        owner_(self, ports.peers, ports.upstreams, ports.gate, entry_, ports.routes,
               key_capacity),
        entry_(self, ports.callers, ports.peers, owner_, ports.chooser, ports.members,
               ports.routes, seed) {
    gate_.SetListener(&owner_);
    entry_.SetUsageGate(usage_);
    if (usage_ != nullptr) usage_->SetListener(&entry_);
  }
  ~basic_node() {
    gate_.SetListener(nullptr);
    if (usage_ != nullptr) usage_->SetListener(nullptr);
  }
  basic_node(const basic_node&) = delete;
  basic_node& operator=(const basic_node&) = delete;

  call_id OnCallerRequest(const caller_request& request, time_point now) {
    owner_.CheckFreeze(now);
    return entry_.OnCallerRequest(request, now);
  }
  void OnCallerDisconnected(exchange_id exchange, time_point now) {
    owner_.CheckFreeze(now);
    entry_.OnCallerDisconnected(exchange, now);
  }
  std::variant<std::string, error_kind> IssueKey(std::string_view service, time_point now) {
    return entry_.IssueKey(service, now);
  }

  // Messages from owners on other daemons.
  void OnAttemptAdmitted(const owner_message_identity& from, const load_hint& hint,
                         time_point now) {
    entry_.OnAttemptAdmitted(from, hint, now);
  }
  void OnAttemptRefused(const owner_message_identity& from, error_kind kind,
                        int recorded_status, const load_hint& hint, time_point now) {
    owner_.CheckFreeze(now);
    entry_.OnAttemptRefused(from, kind, recorded_status, hint, now);
  }
  void OnResponseHead(const owner_message_identity& from, int status, time_point now) {
    entry_.OnResponseHead(from, status, now);
  }
  void OnAttemptFinished(const owner_message_identity& from, bool complete,
                         const load_hint& hint, time_point now) {
    owner_.CheckFreeze(now);
    entry_.OnAttemptFinished(from, complete, hint, now);
  }
  void OnAttemptLost(const attempt_id& attempt, bool was_sent, time_point now) {
    owner_.CheckFreeze(now);
    entry_.OnAttemptLost(attempt, was_sent, now);
  }

  // Messages from entries on other daemons.
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head, time_point now) {
    owner_.OnPeerAttempt(exchange, head, now);
  }
  void OnEntryDisconnected(exchange_id exchange, time_point now) {
    owner_.OnEntryDisconnected(exchange, now);
  }

  // Events of the upstream client.
  void OnUpstreamConnectFailed(const attempt_id& attempt, time_point now) {
    owner_.OnUpstreamConnectFailed(attempt, now);
  }
  void OnUpstreamRefused(const attempt_id& attempt, time_point now) {
    owner_.OnUpstreamRefused(attempt, now);
  }
  void OnUpstreamResponseHead(const attempt_id& attempt, int status, time_point now) {
    owner_.OnUpstreamResponseHead(attempt, status, now);
  }
  void OnUpstreamEnded(const attempt_id& attempt, bool complete, time_point now) {
    owner_.OnUpstreamEnded(attempt, complete, now);
  }
  void OnUpstreamLost(const attempt_id& attempt, time_point now) {
    owner_.OnUpstreamLost(attempt, now);
  }

  /// Refuses new work for the upstream beside this process. Requests of callers are still
  /// accepted and forwarded to other owners.
  void Drain(time_point now) { owner_.Drain(now); }
  void EndDrain() { owner_.EndDrain(); }
  /// Raises the incarnation of this process to `to`, above one that was seen for the same
  /// member.
  void BumpIncarnation(incarnation_id to) {
    entry_.BumpIncarnation(to);
    owner_.BumpIncarnation(to);
  }
  /// True if no call and no work is open, so that the process may exit.
  bool IsIdle() const { return entry_.IsIdle() && owner_.IsIdle(); }
  /// Ticks the owner first, so that its decisions on queued work reach calls of this process
  /// before their deadlines are enforced.
  void Tick(time_point now) {
    owner_.Tick(now);
    entry_.Tick(now);
  }

  /// `on_end` is called once for each call of a caller, when it ends.
  void SetCallObserver(call_history::observer on_end) {
    entry_.history().SetObserver(std::move(on_end));
  }

  /// `on_end` is called once for each attempt at the upstream beside this process, when it
  /// ends.
  void SetAttemptObserver(typename basic_owner_system<Rules>::observer on_end) {
    owner_.SetObserver(std::move(on_end));
  }

  void SetRetryShares(const retry_shares& shares) { entry_.SetRetryShares(shares); }

  const basic_entry_system<Rules>& entry() const { return entry_; }
  const basic_owner_system<Rules>& owner() const { return owner_; }

 private:
  admission_gate& gate_;
  usage_gate* usage_;
  basic_owner_system<Rules> owner_;
  basic_entry_system<Rules> entry_;
};

using node = basic_node<call_rules>;

}  // namespace bronzeroute
