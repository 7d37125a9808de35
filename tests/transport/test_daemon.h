#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "src/admission/upstream_notice.h"
#include "src/base/error_kind.h"
#include "src/calls/attempt_head.h"
#include "src/calls/caller_request.h"
#include "src/transport/event_loop.h"
#include "src/transport/owner_report.h"
#include "src/transport/transport.h"
#include "src/transport/transport_events.h"
#include "tests/transport/raw_socket.h"

namespace bronzeroute {

/// A transport with fixed decisions in place of the node: each call gets one attempt, at the
/// daemon's own upstream or at `target`, and each attempt is admitted. It records its events.
class test_daemon : public transport_events {
 public:
  explicit test_daemon(std::uint64_t id,
                       const std::function<void(transport&)>& prepare = nullptr,
                       const http_dialect& dialect = {})
      : id_{id} {
    StartEventLoop();
    // Another process may bind a free port before the daemon does.
    for (int tries = 0; tries < 10 && (tries == 0 || !start_status.ok()); ++tries) {
      if (tries > 0) std::printf("%s\n", start_status.ToString().c_str());
      transport_ = std::make_unique<transport>(*this, dialect);
      callers_port_ = FreePort();
      addresses_ = {Address(callers_port_), Address(FreePort()), Address(FreePort()),
                    Address(FreePort())};
      if (prepare) prepare(*transport_);
      start_status = transport_->Start(addresses_);
    }
  }
  ~test_daemon() override { transport_->Stop(); }

  static std::string Address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  transport& sockets() { return *transport_; }
  const listen_addresses& addresses() const { return addresses_; }
  std::uint16_t callers_port() const { return callers_port_; }
  member_id id() const { return id_; }

  /// Sends calls to `owner` from now on.
  void UsePeer(const test_daemon& owner) { UsePeer(owner.id_, owner.addresses_.peers); }
  void UsePeer(member_id owner, const std::string& address) {
    target = owner;
    RunOnLoop([&] { transport_->peers().client().OpenPeer(owner, address, true); });
    for (bool ready = false; !ready;) {
      RunOnLoop([&] {
        ready = transport_->peers().IsReady(target, false) &&
                transport_->peers().IsReady(target, true);
      });
    }
  }
  void UseUpstream(const std::string& address) {
    RunOnLoop([&] { transport_->upstream().SetUpstream(address, ""); });
  }

  /// Waits until `count` events named `name` were recorded. There is no time limit except that
  /// of the test.
  void Await(std::string_view name, int count = 1) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return CountLocked(name) >= count; });
  }
  int Count(std::string_view name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return CountLocked(name);
  }

  // Behaviour, set before calls are made.
  member_id target;
  bool is_protected = false;
  bool is_long = false;
  bool relay = true;
  /// Called instead of the default on an attempt at the owner, if set.
  std::function<void(exchange_id, const attempt_head&)> on_attempt;
  std::function<void(const caller_request&)> on_request;
  std::function<void(exchange_id, const attempt_id&)> on_refused;
  absl::Status start_status;
  // Written on the event loop.
  attempt_id last_attempt;
  exchange_id last_exchange;

  attempt_head HeadFor(const caller_request& request) {
    attempt_head head;
    head.id = {{id_, incarnation_id{7}, ++sequence_}, 1};
    head.target = target;
    head.target_incarnation = incarnation_id{7};
    head.service = "orders";
    head.method = request.method;
    head.path = request.path;
    head.depth = request.depth;
    head.is_protected = is_protected;
    head.is_long = is_long;
    head.content_length = request.content_length;
    head.deadline = MonotonicNow() + std::chrono::seconds(60);
    return head;
  }

  void OnCallerRequest(const caller_request& request, time_point /*now*/) override {
    Record("request");
    last_exchange = request.exchange;
    if (on_request) {
      on_request(request);
      return;
    }
    const attempt_head head = HeadFor(request);
    last_attempt = head.id;
    if (target == member_id{}) {
      transport_->upstream().StartUpstream(request.exchange, head.id, head.deadline,
                                           is_protected);
    } else if (!transport_->peers().SendAttempt(request.exchange, head)) {
      transport_->callers().RespondWithError(request.exchange, head.id.call,
                                             error_kind::kPeerUnreachable, 0);
    }
  }
  void OnCallerDisconnected(exchange_id exchange, time_point /*now*/) override {
    transport_->peers().CancelAttempt(exchange, last_attempt);
    transport_->upstream().CancelUpstream(exchange, last_attempt);
    Record("caller_disconnected");
  }
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                     time_point /*now*/) override {
    Record("attempt");
    last_attempt = head.id;
    last_exchange = exchange;
    if (on_attempt) {
      on_attempt(exchange, head);
      return;
    }
    transport_->peers().AdmitAttempt(exchange, {});
    transport_->upstream().StartUpstream(exchange, head.id, head.deadline, head.is_protected);
  }
  void OnEntryDisconnected(exchange_id exchange, const attempt_id& attempt,
                           time_point /*now*/) override {
    transport_->upstream().CancelUpstream(exchange, attempt);
    Record("entry_disconnected");
  }
  void OnAttemptAdmitted(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                         const owner_report& /*report*/, time_point /*now*/) override {
    Record("admitted");
  }
  void OnAttemptRefused(exchange_id exchange, const attempt_id& attempt, error_kind kind,
                        int recorded_status, const owner_report& report,
                        time_point /*now*/) override {
    refused_report = report;
    Record("refused");
    if (on_refused) {
      on_refused(exchange, attempt);
      return;
    }
    transport_->callers().RespondWithError(exchange, attempt.call, kind, recorded_status);
  }
  void OnResponseHead(exchange_id exchange, const attempt_id& attempt, int /*status*/,
                      const owner_report& /*report*/, time_point /*now*/) override {
    if (relay) transport_->callers().RelayResponse(exchange, attempt);
    Record("response_head");
  }
  void OnAttemptFinished(exchange_id exchange, const attempt_id& /*attempt*/, bool complete,
                         const owner_report& /*report*/, time_point /*now*/) override {
    if (!complete) transport_->callers().AbortResponse(exchange);
    Record(complete ? "finished" : "finished_truncated");
  }
  void OnAttemptLost(exchange_id exchange, const attempt_id& attempt,
                     time_point /*now*/) override {
    transport_->callers().RespondWithError(exchange, attempt.call, error_kind::kAnswerLost, 0);
    Record("attempt_lost");
  }
  void OnAttemptNotSent(exchange_id exchange, const attempt_id& attempt,
                        time_point /*now*/) override {
    transport_->callers().RespondWithError(exchange, attempt.call, error_kind::kPeerUnreachable,
                                           0);
    Record("attempt_not_sent");
  }
  void OnUpstreamConnectFailed(exchange_id exchange, const attempt_id& attempt,
                               time_point /*now*/) override {
    EndAtOwner(exchange, attempt, error_kind::kUpstreamConnectFailed);
    Record("connect_failed");
  }
  void OnUpstreamResponseHead(exchange_id exchange, const attempt_id& attempt, int /*status*/,
                              time_point /*now*/) override {
    if (relay) {
      transport_->peers().RelayToEntry(exchange, attempt);
      transport_->callers().RelayResponse(exchange, attempt);
    }
    Record("upstream_head");
  }
  void OnUpstreamEnded(exchange_id exchange, const attempt_id& /*attempt*/, bool complete,
                       time_point /*now*/) override {
    transport_->peers().FinishAttempt(exchange, complete, {});
    if (!complete) transport_->callers().AbortResponse(exchange);
    Record(complete ? "upstream_ended" : "upstream_truncated");
  }
  void OnUpstreamLost(exchange_id exchange, const attempt_id& attempt,
                      time_point /*now*/) override {
    EndAtOwner(exchange, attempt, error_kind::kAnswerLost);
    Record("upstream_lost");
  }
  void OnUpstreamRefused(exchange_id exchange, const attempt_id& attempt,
                         time_point /*now*/) override {
    EndAtOwner(exchange, attempt, error_kind::kUpstreamRefused);
    Record("upstream_refused");
  }
  void OnUpstreamLoad(const load_report& /*report*/, time_point /*now*/) override {
    Record("upstream_load");
  }
  void OnUpstreamNotice(const upstream_notice& notice, time_point /*now*/) override {
    if (notice.max_rate) Record("limit " + std::to_string(*notice.max_rate));
    if (!notice.malformed_rate.empty()) Record("malformed limit");
    if (notice.is_leaving) Record("leaving");
    if (notice.is_complete && !notice.max_rate && notice.malformed_rate.empty()) {
      Record("no limit");
    }
  }
  void OnStrayResponse(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                       time_point /*now*/) override {
    Record("stray_response");
  }
  void OnDatagram(std::string_view from, std::string_view payload,
                  time_point /*now*/) override {
    Record("datagram " + std::string(from) + " " + std::string(payload));
  }

  owner_report refused_report;

 private:
  void EndAtOwner(exchange_id exchange, const attempt_id& attempt, error_kind kind) {
    transport_->peers().RefuseAttempt(exchange, kind, 0, {});
    transport_->callers().RespondWithError(exchange, attempt.call, kind, 0);
  }
  void Record(std::string name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(name));
    changed_.notify_all();
  }
  int CountLocked(std::string_view name) const {
    return static_cast<int>(std::count(events_.begin(), events_.end(), name));
  }

  member_id id_;
  std::uint64_t sequence_ = 0;
  std::uint16_t callers_port_ = 0;
  listen_addresses addresses_;
  std::unique_ptr<transport> transport_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
};

}  // namespace bronzeroute
