#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/accounts/usage_limiter_impl.h"

namespace bronzeroute {

/// Daemons that share usage caps over a simulated network with delay, loss, duplication,
/// partitions, freezes and restarts. Failure detection is simulated as well: each daemon learns
/// of a change at a time of its own, so that their views differ for a while.
template <typename Rules>
class usage_world {
 public:
  struct granted_request {
    time_point at;
    std::string account;
  };
  struct totals {
    std::uint64_t sent = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
  };

  usage_world(std::uint32_t daemons, std::vector<usage_cap> caps, std::uint64_t seed)
      : random_(seed), caps_(std::move(caps)), now_(std::chrono::seconds(100)) {
    for (std::uint32_t i = 0; i < daemons; ++i) {
      nodes_.push_back(std::make_unique<node>());
      Start(i);
    }
  }

  static member_id Id(std::uint32_t at) { return member_id{1000 + std::uint64_t{at} * 7919}; }

  time_point now() const { return now_; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(nodes_.size()); }
  const std::vector<granted_request>& granted() const { return granted_; }
  const totals& total() const { return totals_; }
  std::uint64_t Random(std::uint64_t below) { return random_() % below; }

  /// Delay of datagrams up to this; each is lost or duplicated with these percentages.
  duration max_delay = std::chrono::milliseconds(12);
  std::uint32_t lost_percent = 0;
  std::uint32_t duplicated_percent = 0;
  /// Longest time until a daemon detects that it cannot reach another one.
  duration max_detection = std::chrono::seconds(12);

  void Request(std::uint32_t at, const std::string& account,
               duration wait = std::chrono::milliseconds(150)) {
    node& row = *nodes_[at];
    ++totals_.sent;
    if (!row.limiter || now_ < row.frozen_until) return;
    const std::uint64_t waiter = ++waiter_;
    const usage_decision decision = row.limiter->Acquire(account, waiter, now_ + wait, now_);
    row.accounts[waiter] = account;
    if (decision.state != usage_state::kPending) Decide(at, waiter, decision);
    Collect(at);
  }

  void SetCaps(std::uint32_t at, const std::vector<usage_cap>& caps) {
    nodes_[at]->caps = caps;
    if (nodes_[at]->limiter) nodes_[at]->limiter->SetCaps(caps, now_);
    Collect(at);
  }
  /// The document that daemons read when they start.
  void SetStoredCaps(const std::vector<usage_cap>& caps) { caps_ = caps; }

  void Kill(std::uint32_t at) { nodes_[at]->limiter.reset(); }
  void Start(std::uint32_t at) {
    node& row = *nodes_[at];
    if (row.limiter) return;
    row.caps = caps_;
    row.frozen_until = {};
    row.next_view = {};
    row.accounts.clear();
    row.limiter.emplace(Id(at), static_cast<std::uint64_t>(now_.time_since_epoch().count()),
                        now_);
    row.limiter->SetCaps(row.caps, now_);
  }
  void Freeze(std::uint32_t at, duration time) { nodes_[at]->frozen_until = now_ + time; }
  /// Daemons reach only those with the same number.
  void SetSide(std::uint32_t at, std::uint32_t side) { nodes_[at]->side = side; }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(10);
      while (!network_.empty() && network_.top().at <= now_) {
        datagram next = network_.top();
        network_.pop();
        Deliver(std::move(next));
      }
      for (std::uint32_t i = 0; i < size(); ++i) {
        node& row = *nodes_[i];
        if (!row.limiter || now_ < row.frozen_until) continue;
        // What waited in the socket is read when the daemon runs again.
        for (const usage_message& message : std::exchange(row.waiting, {})) {
          row.limiter->OnMessage(message, now_);
        }
        if (now_ >= row.next_view) UpdateView(i);
        row.limiter->Tick(now_);
        Collect(i);
      }
    }
  }

  /// Largest excess over what `allowed(account, start)` permits, over all windows of 5 s that
  /// start with a granted request; negative if there is none.
  template <typename Allowed>
  double LargestExcess(Allowed allowed) const {
    double worst = -1e9;
    std::map<std::string, std::deque<time_point>> windows;
    for (const granted_request& each : granted_) {
      std::deque<time_point>& window = windows[each.account];
      window.push_back(each.at);
      // The window that ends with this request contains its end, but not its start.
      while (each.at - window.front() >= std::chrono::seconds(5)) window.pop_front();
      worst =
          std::max(worst, static_cast<double>(window.size()) - allowed(each.account, each.at));
    }
    return worst;
  }

 private:
  struct node {
    std::optional<basic_usage_limiter<Rules>> limiter;
    std::vector<usage_cap> caps;
    time_point frozen_until;
    time_point next_view;
    std::uint32_t side = 0;
    std::map<std::uint64_t, std::string> accounts;
    std::vector<usage_message> waiting;
    /// Since when each other daemon has been out of reach, or in reach, and the time from which
    /// this daemon knows.
    std::map<std::uint32_t, time_point> detected_at;
    std::map<std::uint32_t, bool> reached;
    std::map<std::uint32_t, bool> seen;
  };
  struct datagram {
    time_point at;
    std::uint64_t number = 0;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    usage_message message;
    bool operator<(const datagram& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  static std::uint32_t IndexOf(member_id id) {
    return static_cast<std::uint32_t>((id.value - 1000) / 7919);
  }

  bool Reaches(std::uint32_t from, std::uint32_t to) const {
    const node& other = *nodes_[to];
    return other.limiter && now_ >= other.frozen_until && other.side == nodes_[from]->side;
  }

  void UpdateView(std::uint32_t at) {
    node& row = *nodes_[at];
    row.next_view = now_ + std::chrono::milliseconds(100);
    std::vector<member_id> live;
    for (std::uint32_t i = 0; i < size(); ++i) {
      const bool reaches = i == at || Reaches(at, i);
      if (!row.reached.contains(i)) {
        row.reached[i] = row.seen[i] = true;
      }
      if (row.reached[i] != reaches) {
        row.reached[i] = reaches;
        // A return is noticed sooner than a loss.
        const auto most = static_cast<std::uint64_t>(max_detection.count());
        row.detected_at[i] = now_ + duration(Random(reaches ? most / 8 : most) + 1);
      }
      if (row.seen[i] != row.reached[i] && now_ >= row.detected_at[i]) {
        row.seen[i] = row.reached[i];
      }
      if (i == at || row.seen[i]) live.push_back(Id(i));
    }
    row.limiter->SetMembers(live, size(), false, now_);
  }

  void Collect(std::uint32_t at) {
    node& row = *nodes_[at];
    if (!row.limiter) return;
    for (const auto& each : row.limiter->TakeResults()) Decide(at, each.waiter, each.decision);
    for (const usage_message& message : row.limiter->TakeMessages()) {
      ++totals_.messages;
      if (Random(100) < lost_percent) continue;
      const std::uint32_t copies = Random(100) < duplicated_percent ? 2 : 1;
      for (std::uint32_t i = 0; i < copies; ++i) {
        const duration delay(1 + Random(static_cast<std::uint64_t>(max_delay.count())));
        network_.push({now_ + delay, ++number_, at, IndexOf(message.peer), message});
      }
    }
  }

  void Deliver(datagram next) {
    node& to = *nodes_[next.to];
    if (!to.limiter || to.side != nodes_[next.from]->side) return;
    next.message.peer = Id(next.from);
    if (now_ < to.frozen_until) {
      to.waiting.push_back(next.message);
      return;
    }
    to.limiter->OnMessage(next.message, now_);
    Collect(next.to);
  }

  void Decide(std::uint32_t at, std::uint64_t waiter, const usage_decision& decision) {
    node& row = *nodes_[at];
    const std::string account = row.accounts[waiter];
    row.accounts.erase(waiter);
    if (decision.state == usage_state::kDenied) {
      ++totals_.refused;
      return;
    }
    ++totals_.granted;
    // Some requests are refused by the owner afterwards and have not run.
    if (returned_percent > 0 && Random(100) < returned_percent) {
      row.limiter->Return(account, decision.expires, now_);
      return;
    }
    granted_.push_back({now_, account});
  }

 public:
  /// Percentage of the granted requests whose token is returned.
  std::uint32_t returned_percent = 0;

 private:
  std::mt19937_64 random_;
  std::vector<usage_cap> caps_;
  time_point now_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::priority_queue<datagram> network_;
  std::uint64_t number_ = 0;
  std::uint64_t waiter_ = 0;
  std::vector<granted_request> granted_;
  totals totals_;
};

}  // namespace bronzeroute
