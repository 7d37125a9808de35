#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/calls/attempt_head.h"
#include "src/calls/call_times.h"
#include "src/calls/caller_port.h"
#include "src/calls/caller_request.h"
#include "src/calls/entry_system_impl.h"
#include "src/calls/owner_message_identity.h"
#include "src/calls/owner_system_impl.h"
#include "src/calls/peer_port.h"
#include "src/calls/route_directory.h"
#include "src/calls/upstream_chooser.h"
#include "src/calls/upstream_port.h"
#include "src/node/node.h"
#include "tests/calls/call_oracle.h"
#include "tests/calls/fake_gate.h"

namespace bronzeroute::tests {

using std::chrono::milliseconds;

/// How an upstream handles work that starts while the mode is set.
enum class upstream_mode : std::uint8_t {
  kNormal,
  kSlow,
  kFailingFast,
  kConnectFails,
  kLosesResponse,
  kCutsBody,
};

/// Fault probabilities in percent and message delays of the simulation.
struct world_options {
  std::uint64_t seed = 1;
  milliseconds min_delay{1};
  milliseconds max_delay{1};
  int duplicate_percent = 0;
  int lose_percent = 0;
  /// Percentage of lost attempts for which the transport can prove that nothing was sent.
  int unsent_known_percent = 50;
  std::size_t key_capacity = 1000;
  /// For tests of the oracle: a restarted process reuses its previous incarnation.
  bool reuse_incarnation = false;
};

/// Simulation of a few nodes that are connected by fake ports, on a virtual clock. Runs with
/// the same seed take the same course.
template <typename Rules>
class call_world {
 public:
  call_world(std::size_t count, const world_options& world)
      : options(world), random_(world.seed) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<simulated_process>(*this, i));
    }
    for (auto& one : nodes_) Boot(*one);
    for (auto& one : nodes_) RefreshView(*one);
  }

  world_options options;
  call_oracle oracle;
  /// Chooses the first candidate instead of a random one.
  bool choose_first = false;

  time_point now() const { return now_; }
  fake_gate& gate(std::size_t index) { return nodes_[index]->gate; }
  const basic_node<Rules>& node(std::size_t index) const { return *nodes_[index]->core; }
  bool IsAlive(std::size_t index) const { return nodes_[index]->core != nullptr; }
  void SetUpstream(std::size_t index, upstream_mode mode) { nodes_[index]->mode = mode; }
  /// The regions that the configuration of one process allows. Processes are in region "".
  void SetRegions(std::size_t index, const region_limit& regions) {
    nodes_[index]->regions = regions;
  }
  /// Running work makes no progress for `time`.
  void StallUpstream(std::size_t index, duration time) {
    nodes_[index]->stalled_until = now_ + time;
  }
  /// The upstream closes the connections of running work.
  void FailRunningWork(std::size_t index) {
    simulated_process& at = *nodes_[index];
    const std::set<attempt_id> running = at.at_upstream;
    for (const attempt_id& id : running) {
      Run(at, at.incarnation, [&at, id] { at.EndWork(id, false); });
    }
  }
  /// Removes the upstream, so that the process is an entry only.
  void RemoveUpstream(std::size_t index) {
    nodes_[index]->gate.slots = 0;
    for (auto& one : nodes_) RefreshView(*one);
  }

  /// Runs all events up to `time` later.
  void Advance(duration time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

  /// Sends a caller's request; returns its index in the oracle, or nothing if the entry is
  /// down.
  std::optional<std::size_t> Request(std::size_t entry, bool is_protected,
                                     const std::string& key, std::uint32_t caller_try,
                                     duration limit) {
    simulated_process& at = *nodes_[entry];
    if (!at.core) return std::nullopt;
    const std::size_t index = oracle.OnRequest(key, caller_try, is_protected || !key.empty());
    const exchange_id exchange{++last_exchange_};
    request_of_[exchange] = index;
    callers_[index] = {.entry = entry, .incarnation = at.incarnation, .exchange = exchange};
    Run(at, at.incarnation, [=, this, &at] {
      oracle.at(index).response_due = now_ + limit + kMargin;
      caller_request request{.exchange = exchange,
                             .method = "POST",
                             .path = is_protected ? "/orders/new" : "/orders/list",
                             .key = key,
                             .caller_try = caller_try,
                             .content_length = 10,
                             .deadline = now_ + limit};
      at.core->OnCallerRequest(request, now_);
    });
    return index;
  }
  std::string IssueKey(std::size_t entry) {
    simulated_process& at = *nodes_[entry];
    if (!at.core || at.frozen) return {};
    const auto issued = at.core->IssueKey("orders", now_);
    const auto* key = std::get_if<std::string>(&issued);
    return key == nullptr ? std::string() : *key;
  }
  void DisconnectCaller(std::size_t index) {
    const caller row = callers_[index];
    oracle.OnGone(index);
    simulated_process& at = *nodes_[row.entry];
    Run(at, row.incarnation, [this, &at, exchange = row.exchange] {
      at.core->OnCallerDisconnected(exchange, now_);
      std::erase_if(at.responses, [&](auto& one) { return one.second.relayed_to == exchange; });
    });
  }

  void Kill(std::size_t index) {
    simulated_process& at = *nodes_[index];
    if (!at.core) return;
    for (auto& [request, row] : callers_) {
      if (row.entry == index && row.incarnation == at.incarnation) oracle.OnGone(request);
    }
    for (auto& one : streams_) {
      if (one->entry == index || one->owner == index) BreakStream(*one);
    }
    at.core.reset();
    at.frozen = false;
    at.inbox.clear();
    at.responses.clear();
    ScheduleViews();
  }
  void Restart(std::size_t index) {
    if (nodes_[index]->core) return;
    Boot(*nodes_[index]);
    ScheduleViews();
  }
  void Freeze(std::size_t index, duration time) {
    simulated_process& at = *nodes_[index];
    if (!at.core || at.frozen) return;
    at.frozen = true;
    const incarnation_id incarnation = at.incarnation;
    const time_point end = now_ + time;
    for (auto& [request, row] : callers_) {
      // A frozen entry responds once it is resumed.
      if (row.entry == index && row.incarnation == incarnation &&
          oracle.at(request).response_due >= now_) {
        oracle.at(request).response_due =
            std::max(oracle.at(request).response_due, end + kMargin);
      }
    }
    Post(time, [this, &at, incarnation] {
      if (at.incarnation != incarnation || !at.core) return;
      at.frozen = false;
      auto inbox = std::exchange(at.inbox, {});
      for (auto& event : inbox) Run(at, incarnation, event);
    });
  }
  void Drain(std::size_t index) {
    simulated_process& at = *nodes_[index];
    Run(at, at.incarnation, [this, &at] { at.core->Drain(now_); });
  }
  /// Breaks all streams between two processes.
  void BreakStreams(std::size_t left, std::size_t right) {
    for (auto& one : streams_) {
      if ((one->entry == left && one->owner == right) ||
          (one->entry == right && one->owner == left)) {
        BreakStream(*one);
      }
    }
  }
  void SetLink(std::size_t left, std::size_t right, bool is_up) {
    if (is_up) {
      down_.erase({left, right});
    } else {
      down_.insert({left, right});
    }
  }

  /// Stops injecting faults, advances the clock by 30 s, and has the oracle check what is still
  /// open.
  void Settle() {
    options.duplicate_percent = options.lose_percent = 0;
    Advance(std::chrono::seconds(30));
    std::size_t left = 0;
    for (auto& one : nodes_) {
      if (!one->core) continue;
      left += one->core->entry().open_calls() + one->core->entry().open_attempts() +
              one->core->owner().open_attempts() + (one->gate.IsEmpty() ? 0 : 1);
    }
    oracle.OnEnd(left);
  }

 private:
  /// Time after the deadline in which an entry has to respond: its grace period, one tick, and
  /// another one because a tick may be due at the same time.
  static constexpr duration kMargin = kResponseGrace + milliseconds(20);

  struct stream {
    attempt_id id;
    std::size_t entry = 0;
    std::size_t owner = 0;
    incarnation_id entry_incarnation;
    incarnation_id owner_incarnation;
    exchange_id owner_exchange;
    bool has_copies = false;
    bool is_broken = false;
    bool is_delivered = false;
    bool is_cancelled = false;
  };
  struct response {
    std::size_t body_of = 0;
    int status = 0;
    /// The caller's exchange to which the response is relayed.
    exchange_id relayed_to{};
  };
  struct caller {
    std::size_t entry = 0;
    incarnation_id incarnation;
    exchange_id exchange;
  };

  struct simulated_process final : caller_port,
                                   peer_port,
                                   upstream_port,
                                   upstream_chooser,
                                   member_directory,
                                   route_directory {
    simulated_process(call_world& owner_world, std::size_t position)
        : world(owner_world), index(position) {}

    call_world& world;
    std::size_t index;
    incarnation_id incarnation;
    bool frozen = false;
    upstream_mode mode = upstream_mode::kNormal;
    time_point stalled_until;
    std::vector<member_target> view;
    std::vector<std::function<void()>> inbox;
    std::map<attempt_id, response> responses;
    std::set<attempt_id> at_upstream;
    fake_gate gate;
    region_limit regions;
    std::unique_ptr<basic_node<Rules>> core;

    owner_message_identity Self(const attempt_id& id) const {
      return {id, IdOf(index), incarnation};
    }

    // Callers.
    void SetAccount(exchange_id, std::string_view) override {}
    void RespondWithError(exchange_id exchange, const call_id&, error_kind kind, int,
                          duration) override {
      world.oracle.OnError(world.request_of_.at(exchange), kind, world.now_);
    }
    void RelayResponse(exchange_id exchange, const attempt_id& id) override {
      responses[id].relayed_to = exchange;
    }
    void AbortResponse(exchange_id exchange) override {
      world.oracle.OnTruncated(world.request_of_.at(exchange), world.now_);
      std::erase_if(responses, [&](auto& row) { return row.second.relayed_to == exchange; });
    }
    /// The end of a response was received: the transport completes the relay, if there is one.
    void EndRelay(const attempt_id& id, bool is_whole) {
      const auto found = responses.find(id);
      if (found == responses.end()) return;
      const response ended = found->second;
      responses.erase(found);
      if (ended.relayed_to.value == 0) return;
      world.oracle.OnComplete(world.request_of_.at(ended.relayed_to), ended.body_of, is_whole,
                              world.now_);
    }

    // Peers.
    bool IsReady(member_id peer, bool) override { return world.IsLinked(index, peer); }
    bool SendAttempt(exchange_id exchange, const attempt_head& head) override {
      return world.OpenStream(*this, exchange, head);
    }
    void CancelAttempt(exchange_id, const attempt_id& id) override {
      for (auto& one : world.streams_) {
        if (one->entry != index || one->id != id || one->is_cancelled) continue;
        one->is_cancelled = true;
        world.NotifyOwnerGone(*one);
      }
    }
    void AdmitAttempt(exchange_id exchange, const load_hint& hint) override {
      world.SendFrame(exchange,
                      [hint](simulated_process& entry, const owner_message_identity& from) {
                        entry.core->OnAttemptAdmitted(from, hint, entry.world.now_);
                      });
    }
    void RefuseAttempt(exchange_id exchange, error_kind kind, int status,
                       const load_hint& hint) override {
      world.SendFrame(
          exchange, [=](simulated_process& entry, const owner_message_identity& from) {
            entry.core->OnAttemptRefused(from, kind, status, hint, entry.world.now_);
          });
    }
    void RelayToEntry(exchange_id exchange, const attempt_id& id) override {
      const response row = responses[id];
      world.SendFrame(exchange,
                      [row](simulated_process& entry, const owner_message_identity& from) {
                        entry.responses.try_emplace(from.attempt, row);
                        entry.core->OnResponseHead(from, row.status, entry.world.now_);
                      });
    }
    void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) override {
      world.SendFrame(exchange,
                      [=](simulated_process& entry, const owner_message_identity& from) {
                        entry.core->OnAttemptFinished(from, complete, hint, entry.world.now_);
                        entry.EndRelay(from.attempt, complete);
                      });
    }

    // Upstream.
    void StartUpstream(exchange_id exchange, const attempt_id& id, time_point deadline,
                       bool fresh) override {
      world.StartWork(*this, exchange, id, deadline, fresh);
    }
    void CancelUpstream(exchange_id, const attempt_id& id) override {
      world.Post(milliseconds(1), *this, [this, id] { EndWork(id, false); });
    }
    void EndWork(const attempt_id& id, bool complete) {
      if (at_upstream.erase(id) == 0) return;
      if (responses.contains(id)) {
        core->OnUpstreamEnded(id, complete, world.now_);
        EndRelay(id, complete);
      } else {
        core->OnUpstreamLost(id, world.now_);
      }
    }

    // Choice, members and routes.
    std::optional<member_target> Choose(std::string_view, const choice_request&,
                                        std::span<const member_id> excluded,
                                        time_point) override {
      std::vector<member_target> free;
      for (const member_target& one : view) {
        if (std::ranges::find(excluded, one.id) == excluded.end()) free.push_back(one);
      }
      if (free.empty()) return std::nullopt;
      return free[world.choose_first ? 0 : world.Draw(free.size())];
    }
    void OnHint(member_target, const load_hint&, time_point) override {}
    void OnKeyIssued(member_target, time_point) override {}
    void OnAttemptSent(member_target, time_point) override {}
    void OnAttemptEnded(member_target, attempt_outcome, time_point) override {}
    std::vector<member_target> LiveMembers(std::string_view, const region_limit&) override {
      return view;
    }
    region_limit RegionsOf(std::uint64_t, std::string_view) const override { return regions; }
    route_decision Find(const caller_request& request) override {
      return {.service = "orders",
              .is_protected = request.path == "/orders/new",
              .is_marked_short = true,
              .time_limit = std::chrono::seconds(1)};
    }
  };

  static member_id IdOf(std::size_t index) { return member_id{index + 1}; }
  std::size_t Draw(std::size_t below) { return random_() % below; }
  bool Chance(int percent) { return Draw(100) < static_cast<std::size_t>(percent); }
  milliseconds Delay() {
    return options.min_delay +
           milliseconds(Draw(1 + (options.max_delay - options.min_delay).count()));
  }

  void Post(duration delay, std::function<void()> event) {
    events_.emplace(std::pair{now_ + delay, ++last_event_}, std::move(event));
  }
  /// Runs an event for one incarnation of a process; a frozen process handles it when it is
  /// resumed.
  void Run(simulated_process& at, incarnation_id incarnation, std::function<void()> event) {
    if (!at.core || at.incarnation != incarnation) return;
    if (at.frozen) {
      at.inbox.push_back(std::move(event));
    } else {
      event();
    }
  }
  void Post(duration delay, simulated_process& at, std::function<void()> event) {
    Post(delay, [this, &at, incarnation = at.incarnation, event = std::move(event)] {
      Run(at, incarnation, event);
    });
  }

  void Boot(simulated_process& at) {
    if (at.incarnation.value == 0 || !options.reuse_incarnation) {
      at.incarnation = incarnation_id{
          static_cast<std::uint64_t>(1'000'000 + now_.time_since_epoch() / milliseconds(1)) +
          ++last_incarnation_};
    }
    const std::size_t slots = at.gate.slots;
    at.gate = fake_gate();
    at.gate.slots = slots;
    at.at_upstream.clear();
    const self_identity self{IdOf(at.index), at.incarnation, now_};
    const node_ports ports{at, at, at, at, at.gate, at, at};
    at.core = std::make_unique<basic_node<Rules>>(self, ports, random_(), options.key_capacity);
    ScheduleTick(at);
  }
  void ScheduleTick(simulated_process& at) {
    Post(milliseconds(10), [this, &at, incarnation = at.incarnation, core = at.core.get()] {
      if (at.core.get() != core || at.incarnation != incarnation) return;
      if (!at.frozen) at.core->Tick(now_);
      ScheduleTick(at);
    });
  }
  void RefreshView(simulated_process& at) {
    at.view.clear();
    for (auto& one : nodes_) {
      if (one->core && one->gate.slots > 0) {
        at.view.push_back({IdOf(one->index), one->incarnation});
      }
    }
  }
  /// Each process receives a membership change after a random delay of its own.
  void ScheduleViews() {
    for (auto& one : nodes_) {
      Post(milliseconds(50 + Draw(400)), [this, &at = *one] { RefreshView(at); });
    }
  }

  bool IsLinked(std::size_t from, member_id peer) {
    const std::size_t to = peer.value - 1;
    return to != from && nodes_[to]->core && !down_.contains({from, to}) &&
           !down_.contains({to, from});
  }
  bool OpenStream(simulated_process& from, exchange_id exchange, const attempt_head& head) {
    if (!IsLinked(from.index, head.target)) return false;
    const int copies = Chance(options.duplicate_percent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      simulated_process& to = *nodes_[head.target.value - 1];
      streams_.push_back(
          std::make_unique<stream>(stream{.id = head.id,
                                          .entry = from.index,
                                          .owner = to.index,
                                          .entry_incarnation = from.incarnation,
                                          .owner_incarnation = to.incarnation,
                                          .owner_exchange = {++last_exchange_}}));
      stream& opened = *streams_.back();
      opened.has_copies = copies > 1;
      stream_of_[opened.owner_exchange] = &opened;
      request_of_[opened.owner_exchange] = request_of_.at(exchange);
      if (Chance(options.lose_percent)) continue;
      const duration remaining = head.deadline - now_;
      Post(Delay(), to, [this, &to, &opened, head, remaining] {
        if (opened.is_broken) return;
        opened.is_delivered = true;
        attempt_head received = head;
        received.deadline = now_ + remaining;
        to.core->OnPeerAttempt(opened.owner_exchange, received, now_);
        if (opened.is_cancelled) to.core->OnEntryDisconnected(opened.owner_exchange, now_);
      });
    }
    return true;
  }
  void SendFrame(
      exchange_id exchange,
      std::function<void(simulated_process&, const owner_message_identity&)> deliver) {
    stream& on = *stream_of_.at(exchange);
    if (on.is_broken) return;
    simulated_process& entry = *nodes_[on.entry];
    const owner_message_identity from = nodes_[on.owner]->Self(on.id);
    const int copies = Chance(options.duplicate_percent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Chance(options.lose_percent)) continue;
      // Delays differ, so frames of one stream also overtake each other.
      Post(Delay(), [this, &on, &entry, from, deliver] {
        Run(entry, on.entry_incarnation, [&on, &entry, from, deliver] {
          if (!on.is_broken) deliver(entry, from);
        });
      });
    }
  }
  void NotifyOwnerGone(stream& on) {
    simulated_process& owner = *nodes_[on.owner];
    if (owner.incarnation != on.owner_incarnation) return;
    Post(Delay(), owner, [this, &on, &owner] {
      if (on.is_delivered) owner.core->OnEntryDisconnected(on.owner_exchange, now_);
    });
  }
  void BreakStream(stream& on) {
    if (on.is_broken) return;
    on.is_broken = true;
    simulated_process& entry = *nodes_[on.entry];
    // A transport can prove only for some requests that nothing was sent. A request that was
    // duplicated on the network was certainly sent.
    const bool was_sent =
        on.is_delivered || on.has_copies || !Chance(options.unsent_known_percent);
    Post(Delay(), [this, &on, &entry, was_sent] {
      Run(entry, on.entry_incarnation,
          [this, &on, &entry, was_sent] { entry.core->OnAttemptLost(on.id, was_sent, now_); });
    });
    NotifyOwnerGone(on);
  }

  /// Posts an event of running work; while the upstream is stalled, the event is delayed.
  void PostWork(duration delay, simulated_process& at, std::function<void()> event) {
    Post(delay, at, [this, &at, event = std::move(event)] {
      if (now_ < at.stalled_until) {
        PostWork(at.stalled_until - now_, at, event);
      } else {
        event();
      }
    });
  }
  void StartWork(simulated_process& at, exchange_id exchange, const attempt_id& id,
                 time_point deadline, bool fresh) {
    const std::size_t request = request_of_.at(exchange);
    at.at_upstream.insert(id);
    const upstream_mode mode = at.mode;
    if (mode == upstream_mode::kConnectFails) {
      Post(milliseconds(1), at, [this, &at, id] {
        if (at.at_upstream.erase(id) > 0) at.core->OnUpstreamConnectFailed(id, now_);
      });
      return;
    }
    oracle.OnRun(request, fresh, deadline, now_);
    if (mode == upstream_mode::kLosesResponse) {
      Post(milliseconds(5), at, [&at, id] { at.EndWork(id, false); });
      return;
    }
    milliseconds head(10);
    if (mode == upstream_mode::kSlow) head = milliseconds(1500);
    if (mode == upstream_mode::kFailingFast) head = milliseconds(1);
    PostWork(head, at, [this, &at, id, request, mode] {
      if (!at.at_upstream.contains(id)) return;
      const int status = mode == upstream_mode::kFailingFast ? 500 : 200;
      at.responses[id] = response{.body_of = request, .status = status};
      at.core->OnUpstreamResponseHead(id, status, now_);
    });
    PostWork(head + milliseconds(10), at,
             [&at, id, mode] { at.EndWork(id, mode != upstream_mode::kCutsBody); });
  }

  std::mt19937_64 random_;
  time_point now_ = time_point{} + std::chrono::hours(1);
  std::uint64_t last_event_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
  std::vector<std::unique_ptr<simulated_process>> nodes_;
  std::vector<std::unique_ptr<stream>> streams_;
  std::map<exchange_id, stream*> stream_of_;
  std::map<exchange_id, std::size_t> request_of_;
  std::map<std::size_t, caller> callers_;
  std::set<std::pair<std::size_t, std::size_t>> down_;
};

}  // namespace bronzeroute::tests
