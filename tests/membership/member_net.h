#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/measuring/budget_account.h"
#include "src/membership/datagram_port.h"
#include "src/membership/membership_system.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Simulated network of membership systems on a virtual clock, with an in-memory log.
class member_net {
 public:
  struct options {
    std::uint64_t seed = 1;
    double loss = 0;
    double duplicate = 0;
    duration min_delay = std::chrono::milliseconds(1);
    duration max_delay = std::chrono::milliseconds(4);
    std::uint64_t bytes_per_second = 5000;
    std::vector<std::string> seeds{};
  };

  explicit member_net(options net_options)
      : options_(std::move(net_options)), random_(options_.seed) {}

  static std::string Address(std::size_t slot, int port) {
    return "10.0." + std::to_string(slot / 250) + "." + std::to_string(slot % 250 + 1) + ":" +
           std::to_string(port);
  }
  static member_id Id(std::size_t slot) { return member_id{1000 + 7919 * slot}; }

  /// Starts or restarts the process in `slot`; incarnation 0 means the virtual time in ms.
  void Start(std::size_t slot, std::string region = "recife", std::uint64_t incarnation = 0) {
    if (slot >= nodes_.size()) nodes_.resize(slot + 1);
    member_row self;
    self.id = Id(slot);
    self.incarnation.value =
        incarnation != 0 ? incarnation : 1'000'000 + static_cast<std::uint64_t>(NowMs());
    self.region = std::move(region);
    self.availability_zone = self.region + "-" + std::to_string(slot % 2);
    self.peer_address = Address(slot, 7000);
    self.membership_address = Address(slot, 7001);
    self.callers_address = Address(slot, 7002);
    self.admin_address = Address(slot, 7003);
    auto made = std::make_unique<node>();
    made->generation = ++generation_;
    made->net = this;
    made->slot = slot;
    made->budget = std::make_unique<budget_account>(options_.bytes_per_second, duration(0));
    membership_settings settings;
    settings.seeds = options_.seeds;
    made->system = std::make_unique<membership_system>(self, std::move(settings), *made, *made,
                                                       *made->budget, random_(), now_);
    nodes_[slot] = std::move(made);
    slot_of_[Address(slot, 7001)] = slot;
  }
  void StartAll(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) Start(i);
  }
  void Kill(std::size_t slot) { nodes_[slot].reset(); }
  /// Suspends or resumes a process. Datagrams to a frozen process are queued as in a socket
  /// buffer, or dropped with `drop_while_frozen` as by a full one.
  void Freeze(std::size_t slot, bool frozen) { nodes_[slot]->frozen = frozen; }
  /// Drops all datagrams between `partition` and the other members.
  void Partition(std::set<std::size_t> partition) { partitioned_side_ = std::move(partition); }
  void Heal() { partitioned_side_.clear(); }
  /// Drops the datagrams between two members only.
  void DropLink(std::size_t a, std::size_t b) { dropped_links_.insert({a, b}); }

  void RunFor(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) Step();
  }
  /// Runs until `done` returns true; false if it does not within `limit`.
  bool RunUntil(duration limit, const std::function<bool()>& done) {
    const time_point end = now_ + limit;
    while (now_ < end) {
      if (done()) return true;
      Step();
    }
    return done();
  }

  membership_system& at(std::size_t slot) { return *nodes_[slot]->system; }
  budget_account& budget(std::size_t slot) { return *nodes_[slot]->budget; }
  bool running(std::size_t slot) const { return slot < nodes_.size() && nodes_[slot]; }
  /// Unique for each start of a process, even if its incarnation number repeats.
  std::uint64_t generation(std::size_t slot) const { return nodes_[slot]->generation; }
  std::size_t slots() const { return nodes_.size(); }
  time_point now() const { return now_; }
  std::int64_t NowMs() const { return now_.time_since_epoch().count() / 1000; }
  std::uint64_t SentBytes(std::size_t slot) const { return nodes_[slot]->sent_bytes; }
  std::uint64_t SentDatagrams(std::size_t slot) const { return nodes_[slot]->sent; }
  std::size_t LargestDatagram() const { return largest_datagram_; }
  options& net_options() { return options_; }

  /// True if each running process has exactly the running ones as alive, each with its current
  /// incarnation.
  bool Converged() {
    for (std::size_t a = 0; a < nodes_.size(); ++a) {
      if (nodes_[a] && !HasCurrentView(a)) return false;
    }
    return true;
  }
  bool HasCurrentView(std::size_t a) {
    for (std::size_t b = 0; b < nodes_.size(); ++b) {
      const member_row* row = at(a).Find(Id(b));
      const bool alive = row != nullptr && row->state == member_state::kAlive;
      if (!nodes_[b]) {
        if (row != nullptr && IsLive(row->state)) return false;
      } else if (at(b).self().state == member_state::kLeft) {
        if (row != nullptr && row->state != member_state::kLeft) return false;
      } else if (!alive || row->incarnation != at(b).self().incarnation) {
        return false;
      }
    }
    return true;
  }

  bool drop_while_frozen = false;

  // State of the log.
  bool log_down = false;
  int lose_append_responses = 0;
  std::int64_t retention_ms = 600'000;
  std::vector<std::pair<std::int64_t, std::string>> records;  // append time in ms, data
  /// Called for each datagram sent, also for those that are lost later.
  std::function<void(std::size_t, std::string_view, std::string_view)> on_datagram;

  /// Sends a datagram with the source address `from`.
  void Inject(std::string from, std::string to, std::string payload, duration delay) {
    in_flight_.emplace(now_ + delay,
                       packet{std::move(from), std::move(to), std::move(payload)});
  }

 private:
  struct packet {
    std::string from;
    std::string to;
    std::string payload;
  };
  struct log_response {
    time_point at;
    bool is_read = false;
    bool ok = false;
    std::uint64_t token = 0;
    std::int64_t from = 0;
  };
  struct node : datagram_port, log_port {
    void SendDatagram(std::string_view address, std::string_view payload) override {
      sent_bytes += payload.size() + 28;
      ++sent;
      net->Send(slot, address, payload);
    }
    void Append(std::string_view /*stream*/, std::string_view /*key*/, std::string_view data,
                std::uint64_t token) override {
      bool ok = !net->log_down;
      if (ok) {
        net->records.emplace_back(net->NowMs(), std::string(data));
        if (net->lose_append_responses > 0) {
          --net->lose_append_responses;
          ok = false;
        }
      }
      log_responses.push_back(
          {.at = net->now_ + std::chrono::milliseconds(20), .ok = ok, .token = token});
    }
    void Read(std::string_view /*stream*/, std::int64_t from) override {
      log_responses.push_back({.at = net->now_ + std::chrono::milliseconds(20),
                               .is_read = true,
                               .ok = !net->log_down,
                               .from = from});
    }

    member_net* net = nullptr;
    std::size_t slot = 0;
    std::uint64_t generation = 0;
    bool frozen = false;
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent = 0;
    std::vector<log_response> log_responses;
    std::vector<packet> queued_datagrams;
    std::unique_ptr<budget_account> budget;
    std::unique_ptr<membership_system> system;
  };

  void Send(std::size_t from, std::string_view to, std::string_view payload) {
    largest_datagram_ = std::max(largest_datagram_, payload.size());
    if (on_datagram) on_datagram(from, to, payload);
    std::uniform_real_distribution<double> chance(0, 1);
    const int copies = chance(random_) < options_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (chance(random_) < options_.loss) continue;
      std::uniform_int_distribution<duration::rep> delay(options_.min_delay.count(),
                                                         options_.max_delay.count());
      Inject(Address(from, 7001), std::string(to), std::string(payload),
             duration(delay(random_)));
    }
  }
  std::size_t SlotOf(const std::string& address) const {
    const auto found = slot_of_.find(address);
    return found == slot_of_.end() ? nodes_.size() : found->second;
  }
  void Deliver(const packet& datagram) {
    const std::size_t to = SlotOf(datagram.to);
    const std::size_t from = SlotOf(datagram.from);
    if (!running(to) || partitioned_side_.contains(to) != partitioned_side_.contains(from)) {
      return;
    }
    if (dropped_links_.contains({from, to}) || dropped_links_.contains({to, from})) return;
    if (nodes_[to]->frozen) {
      if (!drop_while_frozen) nodes_[to]->queued_datagrams.push_back(datagram);
    } else {
      nodes_[to]->system->OnDatagram(datagram.from, datagram.payload, now_);
    }
  }
  void Step() {
    now_ += std::chrono::milliseconds(10);
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const packet datagram = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      Deliver(datagram);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i] || nodes_[i]->frozen) continue;
      for (const packet& datagram : std::exchange(nodes_[i]->queued_datagrams, {})) {
        nodes_[i]->system->OnDatagram(datagram.from, datagram.payload, now_);
      }
      DeliverLogResponses(*nodes_[i]);
      nodes_[i]->system->Tick(now_);
    }
  }
  void DeliverLogResponses(node& reader) {
    for (const log_response& due : std::exchange(reader.log_responses, {})) {
      if (due.at > now_) {
        reader.log_responses.push_back(due);
      } else if (!due.is_read) {
        reader.system->OnAppendResult(due.token, due.ok, now_);
      } else if (!due.ok || log_down) {
        reader.system->OnLogFailed("members", now_);
      } else {
        reader.system->OnLogRead(ReadFrom(due.from), now_);
      }
    }
  }
  log_read ReadFrom(std::int64_t from) const {
    log_read read;
    read.stream = "members";
    read.next = static_cast<std::int64_t>(records.size());
    read.retention_ms = retention_ms;
    read.first = read.next;
    for (std::int64_t i = read.next - 1; i >= 0; --i) {
      const auto& [at_ms, data] = records[static_cast<std::size_t>(i)];
      if (NowMs() - at_ms > retention_ms) break;
      read.first = i;
      if (i >= from) {
        read.records.insert(read.records.begin(),
                            {.offset = i, .age_ms = NowMs() - at_ms, .data = data});
      }
    }
    return read;
  }

  options options_;
  std::mt19937_64 random_;
  std::uint64_t generation_ = 0;
  time_point now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<node>> nodes_;
  std::multimap<time_point, packet> in_flight_;
  std::set<std::size_t> partitioned_side_;
  std::set<std::pair<std::size_t, std::size_t>> dropped_links_;
  std::size_t largest_datagram_ = 0;
  std::map<std::string, std::size_t> slot_of_;
};

}  // namespace bronzeroute
