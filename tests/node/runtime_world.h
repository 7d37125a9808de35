#pragma once

#include <algorithm>
#include <array>
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
#include "src/calls/owner_message_identity.h"
#include "src/calls/peer_port.h"
#include "src/calls/upstream_port.h"
#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/configuration/configuration_record.h"
#include "src/membership/datagram_port.h"
#include "src/node/node_runtime.h"
#include "src/node/peer_link_port.h"
#include "src/node/runtime_ports.h"
#include "src/node/runtime_settings.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"
#include "tests/node/runtime_oracle.h"

namespace bronzeroute::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class upstream_mode : std::uint8_t { kNormal, kSlow, kFailingFast, kConnectFails };

/// Deliberate defects of a daemon; the oracle must detect each of them.
enum class broken_part : std::uint8_t {
  kNone,
  /// A process loses the version in effect while it continues to run.
  kTakesLowerVersion,
  /// The announced leave of an upstream reaches neither its daemon nor the peers.
  kDrainNotReported,
  /// Admission is configured with more slots than the upstream has.
  kNoSlotLimit,
  /// An operator treats a successful append as the acceptance of its publication.
  kAcceptsOnAppend,
  /// A stop does not wait for work in flight.
  kStopsAtOnce,
  /// Datagrams are sent three times each.
  kIgnoresBudget,
};

struct world_options {
  std::uint64_t seed = 1;
  milliseconds max_delay{1};
  int duplicate_percent = 0;
  int lose_percent = 0;
  milliseconds tick{10};
  duration retention = std::chrono::minutes(10);
  /// The log stays unavailable for some time after the other faults have ended.
  bool ends_without_log = false;
  /// Time within which the newest version must reach every daemon without the log. The required
  /// value is 6 s.
  duration spread_without_log = seconds(6);
  broken_part broken = broken_part::kNone;
  /// Requests per second that a cold upstream takes; 0 for no limit. With a limit there is one
  /// version of the configuration only.
  double cold_rate_per_s = 0;
  configuration_form form = configuration_form::kPublications;
  /// Reads the documents of configuration_form::kVersionedDocuments.
  document_reader read_document = ReadTomlDocument;
  /// Longest time for which the log holds a read without new records.
  duration log_wait = seconds(1);
  /// Whether each daemon knows the addresses of all others from its settings.
  bool has_seeds = true;
  /// Settings of the daemons.
  duration read_pause{};
  duration member_read_pause = seconds(1);
  duration join_spread = seconds(5);
};

/// The log service: streams with offsets and retention, outages, delays and lost responses.
struct fake_log {
  struct stream {
    std::int64_t first = 0;
    std::vector<std::pair<time_point, std::string>> records;
  };
  std::map<std::string, stream, std::less<>> streams;
  bool is_down = false;
  milliseconds delay{2};
  int lose_answers = 0;
  duration retention = std::chrono::minutes(10);
  /// True if a running daemon has folded the configuration record at an offset.
  std::function<bool(std::int64_t)> has_outcome;
  /// Retention removed a configuration record that no running daemon had read, so its outcome
  /// is lost.
  bool lost_for_all = false;

  std::int64_t Append(std::string_view name, std::string_view data, time_point now) {
    stream& to = streams[std::string(name)];
    to.records.emplace_back(now, data);
    return static_cast<std::int64_t>(to.records.size()) - 1;
  }
  log_read Read(std::string_view name, std::int64_t from, time_point now) {
    stream& of = streams[std::string(name)];
    const auto end = static_cast<std::int64_t>(of.records.size());
    const auto at = [&of](std::int64_t offset) -> const auto& {
      return of.records[static_cast<std::size_t>(offset)];
    };
    while (of.first < end && at(of.first).first + retention < now) {
      if (!name.starts_with("members.") && !has_outcome(of.first)) lost_for_all = true;
      ++of.first;
    }
    log_read read{.stream = std::string(name),
                  .first = of.first,
                  .next = end,
                  .retention_ms = retention / milliseconds(1),
                  .records = {}};
    for (std::int64_t i = std::max(from, of.first); i < end; ++i) {
      read.records.push_back({i, (now - at(i).first) / milliseconds(1), at(i).second});
    }
    return read;
  }
};

/// Several complete daemons, connected by fakes of their ports on a virtual clock. The first
/// half of them is in the region of the log, the other half in another region. Runs with the
/// same seed are identical.
class runtime_world {
 public:
  static constexpr std::size_t kSlots = 2;
  static constexpr std::uint64_t kBudget = 2000;

  runtime_world(std::size_t count, const world_options& chosen)
      : options(chosen), random_(chosen.seed) {
    log.retention = options.retention;
    log.has_outcome = [this](std::int64_t offset) {
      return std::ranges::any_of(hosts_, [offset](const auto& one) {
        return one->core && one->core->configuration().in_effect().as_of >= offset;
      });
    };
    for (std::size_t i = 0; i < count; ++i) hosts_.push_back(std::make_unique<host>(*this, i));
    for (auto& one : hosts_) Boot(*one, {});
    for (auto& one : hosts_) Announce(*one);
  }

  world_options options;
  runtime_oracle oracle;
  fake_log log;
  /// The regions are partitioned: no datagram or stream passes between them, and the log is
  /// reachable only from its own region.
  bool is_partitioned = false;

  time_point now() const { return now_; }
  std::size_t size() const { return hosts_.size(); }
  node_runtime& daemon(std::size_t index) { return *hosts_[index]->core; }
  bool IsAlive(std::size_t index) const { return hosts_[index]->core != nullptr; }
  bool IsRunning(std::size_t index) const { return IsAlive(index) && !hosts_[index]->frozen; }
  void SetUpstream(std::size_t index, upstream_mode mode) { hosts_[index]->mode = mode; }
  /// The next announcements state that the upstream is cold until `until`.
  void SetCold(std::size_t index, time_point until) { hosts_[index]->cold_until = until; }
  /// Address to which the transport sends; empty for none.
  const std::string& UpstreamAddress(std::size_t index) const {
    return hosts_[index]->upstream_address;
  }
  /// Times at which requests were sent to the upstream beside the daemon.
  const std::vector<time_point>& Starts(std::size_t index) const {
    return hosts_[index]->starts;
  }
  /// The log gets a record that begins or ends the evacuation of `zone`. Without reaching the
  /// log, a daemon reads no records.
  void SetEvacuated(const std::string& zone, bool begins) {
    evacuations_.push_back({.offset = static_cast<std::int64_t>(evacuations_.size()),
                            .age_ms = 0,
                            .data = "{}",
                            .key = zone,
                            .is_removal = !begins});
  }
  void CutOffLog(std::size_t index, bool cut_off) { hosts_[index]->is_log_cut_off = cut_off; }
  /// Calls to the log from this daemon get no response, open reads included.
  void SetLogSilent(std::size_t index, bool is_silent) {
    hosts_[index]->is_log_silent = is_silent;
    if (is_silent) hosts_[index]->open_reads.clear();
  }
  /// The connection to the log that holds the open reads never carries another response; new
  /// ones work.
  void SilenceOpenReads(std::size_t index) { hosts_[index]->open_reads.clear(); }
  void RemoveUpstream(std::size_t index) { hosts_[index]->has_upstream = false; }

  void Advance(duration time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

  std::optional<std::size_t> Request(std::size_t entry, bool is_protected,
                                     const std::string& key, std::uint32_t caller_try,
                                     duration limit) {
    host& at = *hosts_[entry];
    if (!at.core) return std::nullopt;
    const std::size_t index =
        oracle.calls.OnRequest(key, caller_try, is_protected || !key.empty());
    const exchange_id exchange{++last_exchange_};
    request_of_[exchange] = index;
    callers_[index] = {&at, at.process, exchange};
    Run(at, at.process, [=, this, &at] {
      oracle.calls.at(index).response_due = now_ + limit + Margin();
      at.core->calls().OnCallerRequest({.exchange = exchange,
                                        .method = "POST",
                                        .path = is_protected ? "/media/scores" : "/media/read",
                                        .key = key,
                                        .caller_try = caller_try,
                                        .content_length = 10,
                                        .deadline = now_ + limit},
                                       now_);
    });
    return index;
  }
  std::string IssueKey(std::size_t entry) {
    host& at = *hosts_[entry];
    if (!at.core || at.frozen) return {};
    const auto issued = at.core->calls().IssueKey("media", now_);
    const auto* key = std::get_if<std::string>(&issued);
    return key == nullptr ? std::string() : *key;
  }

  /// An operator reads the stream, publishes on the version in effect there, and reads the
  /// outcome of its record. Returns false if the log is unavailable.
  bool Publish() { return PublishOn(ReadVersion()); }
  /// Two operators publish on the same version.
  void Race() {
    const auto base = ReadVersion();
    PublishOn(base);
    PublishOn(base);
  }

  void Kill(std::size_t index) {
    host& at = *hosts_[index];
    if (!at.core) return;
    CheckBudget(at);
    for (auto& [request, row] : callers_) {
      if (row.at == &at && row.process == at.process) oracle.calls.OnGone(request);
    }
    for (auto& one : streams_) {
      if (one->entry == &at || one->owner == &at) BreakStream(*one);
    }
    at.Clear();
  }
  /// Starts the daemon again; its wall clock is set back by `clock_back`.
  void Restart(std::size_t index, milliseconds clock_back = {}) {
    if (!hosts_[index]->core) Boot(*hosts_[index], clock_back);
  }
  void Freeze(std::size_t index, duration time) {
    host& at = *hosts_[index];
    if (!at.core || at.frozen) return;
    at.frozen = true;
    const time_point end = now_ + time;
    for (auto& [request, row] : callers_) {
      auto& known = oracle.calls.at(request);
      if (row.at == &at && row.process == at.process && known.response_due >= now_) {
        known.response_due = std::max(known.response_due, end + Margin());
      }
    }
    Post(time, [this, &at, process = at.process] {
      if (at.process != process || !at.core) return;
      at.frozen = false;
      for (auto& event : std::exchange(at.inbox, {})) Run(at, process, event);
    });
  }
  void SetPartitioned(bool partitioned) {
    is_partitioned = partitioned;
    for (auto& one : streams_) {
      if (partitioned && one->entry->region() != one->owner->region()) BreakStream(*one);
    }
  }
  /// The upstream announces its leave, and then stops announcing itself.
  void UpstreamLeaves(std::size_t index) {
    host& at = *hosts_[index];
    at.has_upstream = false;
    Run(at, at.process, [this, &at] {
      at.leave_announced_at = now_;
      if (options.broken != broken_part::kDrainNotReported) at.core->Drain(now_);
    });
  }
  void Stop(std::size_t index) {
    host& at = *hosts_[index];
    Run(at, at.process, [this, &at] { at.core->Stop(now_); });
  }

  /// Ends all faults and lets the oracle check the final state.
  void Settle() {
    options.duplicate_percent = options.lose_percent = 0;
    options.max_delay = milliseconds(1);
    log.lose_answers = 0;
    log.delay = milliseconds(2);
    SetPartitioned(false);
    // Every freeze ends within 10 s; the 6 s for the version count from then.
    while (std::ranges::any_of(hosts_, [](const auto& one) { return one->frozen; })) {
      Advance(milliseconds(100));
    }
    if (options.ends_without_log) SettleWithoutLog();
    log.is_down = false;
    Advance(seconds(6));
    std::optional<std::int64_t> agreed;
    if (!log.lost_for_all) agreed = oracle.newest();
    for (auto& one : hosts_) {
      if (!one->core) continue;
      const std::int64_t version = one->core->configuration().version();
      oracle.OnSettledVersion(one->index, version, agreed.value_or(version));
      agreed = agreed.value_or(version);
    }
    Advance(seconds(24));
    std::size_t left = 0;
    for (auto& one : hosts_) {
      if (!one->core) continue;
      CheckBudget(*one);
      left += one->core->calls().IsIdle() ? 0 : 1;
      left +=
          one->core->admission().system().running() + one->core->admission().system().queued();
    }
    oracle.calls.OnEnd(left);
  }

 private:
  /// Checks that the newest version of any daemon reaches all daemons while the log is
  /// unavailable.
  void SettleWithoutLog() {
    log.is_down = true;
    Advance(options.spread_without_log);
    std::int64_t newest = -1;
    for (auto& one : hosts_) {
      if (one->core) newest = std::max(newest, one->core->configuration().version());
    }
    for (auto& one : hosts_) {
      if (!one->core) continue;
      oracle.OnSettledVersion(one->index, one->core->configuration().version(), newest);
    }
  }

  struct host;
  struct stream {
    attempt_head head;
    host* entry = nullptr;
    host* owner = nullptr;
    std::size_t entry_process = 0;
    std::size_t owner_process = 0;
    exchange_id owner_exchange;
    bool is_broken = false;
    bool is_delivered = false;
    bool is_cancelled = false;

    owner_message_identity From() const {
      return {head.id, head.target, head.target_incarnation};
    }
  };
  struct response {
    std::size_t body_of = 0;
    int status = 0;
    exchange_id relayed_to{};
  };
  struct caller {
    host* at = nullptr;
    std::size_t process = 0;
    exchange_id exchange;
  };

  struct host final : caller_port,
                      peer_port,
                      upstream_port,
                      datagram_port,
                      log_port,
                      configuration_peer_port,
                      peer_link_port {
    host(runtime_world& owner_world, std::size_t position)
        : world(owner_world), index(position) {}

    runtime_world& world;
    std::size_t index;
    /// Counts the processes of the whole test.
    std::size_t process = 0;
    incarnation_id incarnation;
    time_point started;
    std::uint64_t sent_bytes = 0;
    bool frozen = false;
    std::vector<std::function<void()>> inbox;
    std::map<attempt_id, response> responses;
    std::map<member_id, std::string> links;
    std::optional<time_point> exit_by;
    // The upstream outlives the process.
    upstream_mode mode = upstream_mode::kNormal;
    bool has_upstream = true;
    std::optional<time_point> leave_announced_at;
    std::set<attempt_id> at_upstream;
    std::vector<time_point> starts;
    bool is_log_cut_off = false;
    bool is_log_silent = false;
    /// Number of the open read of each stream.
    std::map<std::string, std::size_t> open_reads;
    std::size_t last_read = 0;
    std::string upstream_address;
    /// Records of evacuations that this process has read; -1 before the first read.
    std::int64_t evacuations_read = -1;
    time_point cold_until;
    std::unique_ptr<node_runtime> core;

    std::size_t region() const { return index < world.size() / 2 ? 0 : 1; }
    bool ReachesLog() const {
      return !world.log.is_down && !is_log_cut_off && (!world.is_partitioned || region() == 0);
    }
    void Clear() {
      core.reset();
      frozen = false;
      inbox.clear();
      responses.clear();
      links.clear();
      open_reads.clear();
      at_upstream.clear();
      exit_by.reset();
    }

    // Callers.
    void SetAccount(exchange_id, std::string_view) override {}
    void RespondWithError(exchange_id exchange, const call_id&, error_kind kind, int,
                          duration) override {
      world.oracle.calls.OnError(world.request_of_.at(exchange), kind, world.now_);
    }
    void RelayResponse(exchange_id exchange, const attempt_id& id) override {
      responses[id].relayed_to = exchange;
    }
    void AbortResponse(exchange_id exchange) override {
      world.oracle.calls.OnTruncated(world.request_of_.at(exchange), world.now_);
      std::erase_if(responses, [&](auto& row) { return row.second.relayed_to == exchange; });
    }
    void EndRelay(const attempt_id& id, bool is_whole) {
      const auto found = responses.find(id);
      if (found == responses.end()) return;
      const response ended = found->second;
      responses.erase(found);
      if (ended.relayed_to.value == 0) return;
      world.oracle.calls.OnComplete(world.request_of_.at(ended.relayed_to), ended.body_of,
                                    is_whole, world.now_);
    }

    // Peers.
    bool IsReady(member_id peer, bool) override { return world.IsLinked(*this, peer); }
    bool SendAttempt(exchange_id exchange, const attempt_head& head) override {
      return world.OpenStream(*this, exchange, head);
    }
    void CancelAttempt(exchange_id, const attempt_id& id) override {
      for (auto& one : world.streams_) {
        if (one->entry != this || one->head.id != id || one->is_cancelled) continue;
        one->is_cancelled = true;
        world.NotifyOwnerGone(*one);
      }
    }
    void AdmitAttempt(exchange_id exchange, const load_hint& hint) override {
      world.SendFrame(exchange, [hint](host& entry, const owner_message_identity& from) {
        entry.core->calls().OnAttemptAdmitted(from, hint, entry.world.now_);
      });
    }
    void RefuseAttempt(exchange_id exchange, error_kind kind, int status,
                       const load_hint& hint) override {
      world.SendFrame(exchange, [=](host& entry, const owner_message_identity& from) {
        entry.core->calls().OnAttemptRefused(from, kind, status, hint, entry.world.now_);
      });
    }
    void RelayToEntry(exchange_id exchange, const attempt_id& id) override {
      const response row = responses[id];
      world.SendFrame(exchange, [row](host& entry, const owner_message_identity& from) {
        entry.responses.try_emplace(from.attempt, row);
        entry.core->calls().OnResponseHead(from, row.status, entry.world.now_);
      });
    }
    void FinishAttempt(exchange_id exchange, bool complete, const load_hint& hint) override {
      world.SendFrame(exchange, [=](host& entry, const owner_message_identity& from) {
        entry.core->calls().OnAttemptFinished(from, complete, hint, entry.world.now_);
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
        core->calls().OnUpstreamEnded(id, complete, world.now_);
        EndRelay(id, complete);
      } else {
        core->calls().OnUpstreamLost(id, world.now_);
      }
    }

    // Membership, log, configuration and links.
    void SendDatagram(std::string_view address, std::string_view payload) override {
      const int copies = world.options.broken == broken_part::kIgnoresBudget ? 3 : 1;
      for (int i = 0; i < copies; ++i) world.SendDatagram(*this, address, payload);
    }
    void Append(std::string_view name, std::string_view /*key*/, std::string_view data,
                std::uint64_t token) override {
      world.Post(world.log.delay, *this,
                 [this, name = std::string(name), data = std::string(data), token] {
                   bool succeeded = ReachesLog();
                   if (succeeded) world.log.Append(name, data, world.now_);
                   if (succeeded && world.log.lose_answers > 0) {
                     --world.log.lose_answers;
                     succeeded = false;
                   }
                   core->OnAppendResult(token, succeeded, world.now_);
                 });
    }
    void Read(std::string_view name, std::int64_t from) override {
      const std::string stream(name);
      const std::size_t number = ++last_read;
      open_reads[stream] = number;
      WaitRead(stream, number, from, world.now_ + world.options.log_wait, world.log.delay);
    }
    void WaitRead(const std::string& name, std::size_t number, std::int64_t from,
                  time_point until, duration delay) {
      if (is_log_silent) return;
      world.Post(delay, *this, [this, name, number, from, until] {
        const auto open = open_reads.find(name);
        if (is_log_silent || open == open_reads.end() || open->second != number) return;
        if (!ReachesLog()) {
          open_reads.erase(open);
          core->OnLogFailed(name, world.now_);
          return;
        }
        if (name.starts_with("config.")) ReadEvacuations();
        const log_read read = world.log.Read(name, from, world.now_);
        if (read.records.empty() && world.now_ < until) {
          WaitRead(name, number, from, until, milliseconds(50));
        } else {
          open_reads.erase(open);
          core->OnLogRead(read, world.now_);
        }
      });
    }
    void ReadEvacuations() {
      const auto end = static_cast<std::int64_t>(world.evacuations_.size());
      if (evacuations_read == end) return;
      log_read read;
      read.stream = "evacuations.trial";
      read.next = end;
      read.is_newest_of_each = evacuations_read < 0;
      std::map<std::string, log_record> newest;
      for (const log_record& record : world.evacuations_) {
        if (record.offset >= evacuations_read) read.records.push_back(record);
        newest[record.key] = record;
      }
      if (read.is_newest_of_each) {
        read.records.clear();
        for (const auto& [zone, record] : newest) {
          if (!record.is_removal) read.records.push_back(record);
        }
      }
      evacuations_read = end;
      core->OnLogRead(read, world.now_);
    }
    void FetchSnapshot(member_id peer, std::int64_t known) override {
      host* to = world.IsLinked(*this, peer) ? world.Find(peer) : nullptr;
      world.Post(world.Delay(), *this, [this, to, peer, known] {
        // A frozen process does not respond.
        if (to != nullptr && to->core && to->frozen) return;
        if (to == nullptr || !to->core || !world.IsLinked(*this, peer)) {
          core->OnSnapshotFailed(peer, world.now_);
        } else {
          core->OnSnapshot(peer, to->core->configuration().SnapshotFor(known), world.now_);
        }
      });
    }
    void OpenPeer(member_id peer, std::string_view address, bool /*keeps_open*/) override {
      links[peer] = address;
    }
    void ClosePeer(member_id peer) override { links.erase(peer); }
    void SetUpstream(std::string_view address, std::string_view) override {
      upstream_address = address;
    }
  };

  static member_id IdOf(std::size_t index) { return member_id{index + 1}; }
  static std::string AddressOf(std::size_t index) {
    return "10.0.0." + std::to_string(index + 1) + ":7001";
  }
  duration Margin() const { return kResponseGrace + options.tick * 2; }
  std::size_t Draw(std::size_t below) { return random_() % below; }
  bool Chance(int percent) { return Draw(100) < static_cast<std::size_t>(percent); }
  milliseconds Delay() {
    return milliseconds(1 + Draw(static_cast<std::size_t>(options.max_delay.count())));
  }
  host* Find(member_id id) {
    return id.value >= 1 && id.value <= hosts_.size() ? hosts_[id.value - 1].get() : nullptr;
  }

  void Post(duration delay, std::function<void()> event) {
    events_.emplace(std::pair{now_ + delay, ++last_event_}, std::move(event));
  }
  void Run(host& at, std::size_t process, std::function<void()> event) {
    if (!at.core || at.process != process) return;
    if (at.frozen) {
      at.inbox.push_back(std::move(event));
    } else {
      event();
      if (at.core) oracle.OnVersion(at.process, at.core->configuration().version());
    }
  }
  void Post(duration delay, host& at, std::function<void()> event) {
    Post(delay, [this, &at, process = at.process, event = std::move(event)] {
      Run(at, process, event);
    });
  }

  void Boot(host& at, milliseconds clock_back) {
    at.process = ++last_process_;
    at.incarnation.value =
        static_cast<std::uint64_t>((now_.time_since_epoch() - clock_back) / milliseconds(1)) +
        at.process;
    at.started = now_;
    at.sent_bytes = 0;
    at.evacuations_read = -1;
    MakeCore(at);
    ScheduleTick(at);
  }
  void MakeCore(host& at) {
    member_row self;
    self.id = IdOf(at.index);
    self.incarnation = at.incarnation;
    self.region = at.region() == 0 ? "central" : "north";
    self.availability_zone = self.region + "-a";
    self.peer_address = AddressOf(at.index);
    self.membership_address = AddressOf(at.index);
    runtime_settings settings{.environment = "trial",
                              .seeds = {},
                              .seed = random_(),
                              .form = options.form,
                              .read_document = options.read_document};
    if (options.cold_rate_per_s > 0) {
      // The limit is no part of the TOML format.
      settings.form = configuration_form::kVersionedDocuments;
      settings.read_document = [rate = options.cold_rate_per_s](std::string_view bytes) {
        parse_result result = ReadTomlDocument(bytes);
        if (!result.value) return result;
        result.value->version = 0;
        for (service_spec& spec : result.value->services) spec.cold_rate_per_s = rate;
        return result;
      };
    }
    settings.configuration_read_pause = options.read_pause;
    settings.member_read_pause = options.member_read_pause;
    settings.log_read_time = options.log_wait + seconds(9);
    settings.join_spread = options.join_spread;
    for (std::size_t i = 0; options.has_seeds && i < hosts_.size(); ++i) {
      settings.seeds.push_back(AddressOf(i));
    }
    at.core = std::make_unique<node_runtime>(self, settings,
                                             runtime_ports{at, at, at, at, at, at, at}, now_);
  }
  void ScheduleTick(host& at) {
    Post(options.tick, [this, &at, process = at.process] {
      if (at.process != process || !at.core) return;
      if (!at.frozen) Run(at, process, [this, &at] { Tick(at); });
      if (at.core) ScheduleTick(at);
    });
  }
  void Tick(host& at) {
    if (options.broken == broken_part::kTakesLowerVersion && Draw(500) == 0 &&
        at.core->calls().IsIdle()) {
      MakeCore(at);
    }
    at.core->Tick(now_);
    if (!at.core->stopping()) return;
    const bool at_once = options.broken == broken_part::kStopsAtOnce;
    if (!at_once && !at.core->calls().IsIdle()) return;
    // The daemon waits at most 5 s for its leave record.
    if (!at.exit_by) at.exit_by = now_ + seconds(5);
    if (at_once || at.core->MayExit() || now_ >= *at.exit_by) Exit(at);
  }
  void Exit(host& at) {
    std::size_t open = 0;
    for (const auto& [request, row] : callers_) {
      const bool is_open = oracle.calls.at(request).now == call_oracle::state::kOpen;
      open += row.at == &at && row.process == at.process && is_open ? 1 : 0;
    }
    oracle.OnStopped(at.index, open, at.at_upstream.size());
    // Messages that the process sent before its exit still arrive; those it has not received
    // are lost.
    for (auto& one : streams_) {
      if (one->owner == &at && one->owner_process == at.process && !one->is_delivered) {
        BreakStream(*one);
      }
    }
    CheckBudget(at);
    at.Clear();
  }
  void Announce(host& at) {
    Post(seconds(2), [this, &at] { Announce(at); });
    if (!at.has_upstream) return;
    const bool is_inflated = options.broken == broken_part::kNoSlotLimit;
    Run(at, at.process, [this, &at, is_inflated] {
      at.core->OnAnnouncement(
          {.service = "media",
           .address = "10.0.1.1:80",
           .slots = is_inflated ? 50U : static_cast<std::uint32_t>(kSlots),
           .connections = 50,
           .warm_at =
               options.cold_rate_per_s > 0 ? std::max(at.cold_until, now_) : time_point{}},
          now_);
    });
  }
  void CheckBudget(host& at) {
    oracle.OnMeasured(at.index, at.sent_bytes, now_ - at.started, kBudget);
  }

  std::optional<std::int64_t> ReadVersion() {
    if (log.is_down) return std::nullopt;
    configuration_fold fold("trial");
    fold.Fold(log.Read("config.trial", 0, now_));
    return fold.anchored() ? std::optional(fold.head().version) : std::nullopt;
  }
  bool PublishOn(std::optional<std::int64_t> base) {
    if (options.cold_rate_per_s > 0) base = -1;
    if (!base || log.is_down) return false;
    const std::string id = "publication-" + std::to_string(++last_publication_);
    const std::string slots = options.broken == broken_part::kNoSlotLimit ? "50" : "2";
    const std::string document =
        "format = 1\nname = \"" + id +
        "\"\n[measuring]\nbytes_per_second = 2000\nupstream_ms_per_second = 6\n"
        "[[service]]\nname = \"media\"\ndeadline_ms = 1000\nslots = " +
        slots +
        "\nconnections = 50\nqueue_limit = 4\nlong_share = 0.5\n"
        "[[service.route]]\nmethod = \"POST\"\nprefix = \"/media/scores\"\nclass = \"short\"\n"
        "protected = true\n"
        "[[service.route]]\nmethod = \"POST\"\nprefix = \"/media/read\"\nclass = \"short\"\n";
    if (options.cold_rate_per_s > 0) {
      const std::int64_t version = log.Append("config.trial", document, now_);
      oracle.OnPublished(version, *base);
      oracle.OnReportedAccepted(version);
      return true;
    }
    const std::int64_t offset =
        log.Append("config.trial", EncodePublication(id, *base, document, std::nullopt), now_);
    oracle.OnPublished(offset, *base);
    if (options.broken == broken_part::kAcceptsOnAppend) {
      oracle.OnReportedAccepted(offset);
      return true;
    }
    configuration_fold fold("trial");
    for (const folded_record& each : fold.Fold(log.Read("config.trial", 0, now_))) {
      if (each.publication_id == id && each.outcome == record_outcome::kAccepted) {
        oracle.OnReportedAccepted(each.offset);
      }
    }
    return true;
  }

  bool IsLinked(const host& from, member_id peer) {
    const host* to = Find(peer);
    return to != nullptr && to != &from && to->core && from.links.contains(peer) &&
           (!is_partitioned || from.region() == to->region());
  }
  void SendDatagram(host& from, std::string_view address, std::string_view payload) {
    from.sent_bytes += payload.size();
    for (auto& to : hosts_) {
      const bool is_lost =
          (is_partitioned && to->region() != from.region()) || Chance(options.lose_percent);
      if (address != AddressOf(to->index) || is_lost) continue;
      const int copies = Chance(options.duplicate_percent) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        Post(Delay(), *to,
             [this, &to = *to, sender = AddressOf(from.index), data = std::string(payload)] {
               to.core->OnDatagram(sender, data, now_);
             });
      }
    }
  }
  bool OpenStream(host& from, exchange_id exchange, const attempt_head& head) {
    if (!IsLinked(from, head.target)) return false;
    const int copies = Chance(options.duplicate_percent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      host& to = *Find(head.target);
      streams_.push_back(
          std::make_unique<stream>(stream{.head = head,
                                          .entry = &from,
                                          .owner = &to,
                                          .entry_process = from.process,
                                          .owner_process = to.process,
                                          .owner_exchange = {++last_exchange_}}));
      stream& opened = *streams_.back();
      stream_of_[opened.owner_exchange] = &opened;
      request_of_[opened.owner_exchange] = request_of_.at(exchange);
      const duration remaining = head.deadline - now_;
      Post(Delay(), to, [this, &to, &opened, remaining] {
        if (opened.is_broken) return;
        opened.is_delivered = true;
        attempt_head received = opened.head;
        received.deadline = now_ + remaining;
        to.core->calls().OnPeerAttempt(opened.owner_exchange, received, now_);
        if (opened.is_cancelled) {
          to.core->calls().OnEntryDisconnected(opened.owner_exchange, now_);
        }
      });
    }
    return true;
  }
  void SendFrame(exchange_id exchange,
                 const std::function<void(host&, const owner_message_identity&)>& deliver) {
    stream& on = *stream_of_.at(exchange);
    if (on.is_broken) return;
    const std::int64_t version = on.owner->core->configuration().version();
    const int copies = Chance(options.duplicate_percent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Post(Delay(), [this, &on, deliver, version] {
        Run(*on.entry, on.entry_process, [this, &on, deliver, version] {
          if (on.is_broken) return;
          deliver(*on.entry, on.From());
          on.entry->core->OnPeerReport(on.From(), version, now_);
        });
      });
    }
  }
  void NotifyOwnerGone(stream& on) {
    Post(Delay(), [this, &on] {
      Run(*on.owner, on.owner_process, [this, &on] {
        if (on.is_delivered) {
          on.owner->core->calls().OnEntryDisconnected(on.owner_exchange, now_);
        }
      });
    });
  }
  void BreakStream(stream& on) {
    if (on.is_broken) return;
    on.is_broken = true;
    Post(Delay(), [this, &on] {
      Run(*on.entry, on.entry_process,
          [this, &on] { on.entry->core->calls().OnAttemptLost(on.head.id, true, now_); });
    });
    NotifyOwnerGone(on);
  }
  void StartWork(host& at, exchange_id exchange, const attempt_id& id, time_point deadline,
                 bool fresh) {
    const std::size_t request = request_of_.at(exchange);
    const upstream_mode mode = at.mode;
    at.at_upstream.insert(id);
    at.starts.push_back(now_);
    if (mode == upstream_mode::kConnectFails) {
      Post(milliseconds(1), at, [this, &at, id] {
        if (at.at_upstream.erase(id) > 0) at.core->calls().OnUpstreamConnectFailed(id, now_);
      });
      return;
    }
    oracle.calls.OnRun(request, fresh, deadline, now_);
    oracle.OnWorkStarted(at.index, at.at_upstream.size(), kSlots, at.leave_announced_at, now_);
    const bool fails = mode == upstream_mode::kFailingFast;
    const milliseconds head(mode == upstream_mode::kSlow ? 1500 : fails ? 1 : 10);
    Post(head, at, [this, &at, id, request, fails] {
      if (!at.at_upstream.contains(id)) return;
      const int status = fails ? 500 : 200;
      at.responses[id] = response{.body_of = request, .status = status};
      at.core->calls().OnUpstreamResponseHead(id, status, now_);
    });
    Post(head + milliseconds(10), at, [&at, id] { at.EndWork(id, true); });
  }

  std::mt19937_64 random_;
  std::vector<log_record> evacuations_;
  time_point now_ = time_point{} + std::chrono::hours(1);
  std::uint64_t last_event_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::size_t last_process_ = 0;
  std::size_t last_publication_ = 0;
  std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<std::unique_ptr<stream>> streams_;
  std::map<exchange_id, stream*> stream_of_;
  std::map<exchange_id, std::size_t> request_of_;
  std::map<std::size_t, caller> callers_;
};

}  // namespace bronzeroute::tests
