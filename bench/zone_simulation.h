#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/membership/member_row.h"
#include "src/routing/hint_rate_limiter.h"
#include "src/routing/routing_system.h"

namespace bronzeroute {

/// One service in three zones of a region, with demand that differs by zone.
struct zone_scenario {
  std::string_view name;
  /// Demand of a zone relative to the capacity of its upstreams.
  std::function<double(std::uint32_t zone, double seconds)> demand;
  double length_s = 10;
  /// Time from the measurement of a hint to its arrival, beside the time on the network.
  duration hint_delay{};
  /// Zone 0 is lost between these times; its callers go to the other zones.
  double lost_from_s = 0;
  double lost_until_s = 0;
};

struct zone_run_result {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  /// Bytes of requests and responses between zones.
  std::uint64_t cross_zone_bytes = 0;
  std::uint64_t attempts = 0;
  /// Share of the attempts that left zone 0, in windows of 100 ms.
  std::vector<double> left_zone_0;
  /// Attempts between zones that arrived at zone 0 in the same windows.
  std::vector<double> into_zone_0;
};

/// The scenarios that a policy must play: one zone at 1.5 times its capacity, all zones full, a
/// wave of demand, the loss and return of a zone, and hints that arrive a second late.
inline std::vector<zone_scenario> ZoneScenarios(double length_s) {
  const auto uneven = [](std::uint32_t zone, double) { return zone == 0 ? 1.5 : 0.5; };
  const auto burst = [](std::uint32_t zone, double at) {
    return zone == 0 && at >= 4 && at < 7 ? 1.5 : 0.5;
  };
  const auto wave = [](std::uint32_t zone, double at) {
    constexpr double kPeriod = 6;
    return 0.75 + 0.6 * std::sin(2 * M_PI * (at / kPeriod - zone / 3.0));
  };
  return {
      {.name = "one zone at 1.5", .demand = uneven, .length_s = length_s},
      {.name = "burst of 3 s", .demand = burst, .length_s = length_s},
      {.name = "all zones full",
       .demand = [](std::uint32_t, double) { return 1.2; },
       .length_s = length_s},
      {.name = "wave", .demand = wave, .length_s = length_s},
      {.name = "zone lost and back",
       .demand = [](std::uint32_t, double) { return 0.55; },
       .length_s = length_s,
       .lost_from_s = 0.3 * length_s,
       .lost_until_s = 0.6 * length_s},
      {.name = "hints 1 s late",
       .demand = uneven,
       .length_s = length_s,
       .hint_delay = std::chrono::seconds(1)},
  };
}

/// Plays a scenario on a virtual clock with the real hint tables. Upstreams are modelled by
/// slots and one queue, from which work that would be late is refused on arrival.
template <choice_policy Policy>
class zone_simulation {
 public:
  static constexpr std::uint32_t kZones = 3;
  static constexpr std::uint32_t kUpstreams = 4;
  static constexpr std::uint32_t kEntries = 8;
  static constexpr std::uint32_t kSlots = 6;
  static constexpr double kMeanWorkUs = 4000;
  static constexpr double kWorkSigma = 0.6;
  static constexpr std::uint64_t kMessageBytes = 4096;
  static constexpr duration kTimeLimit = std::chrono::milliseconds(50);

  zone_simulation(const zone_scenario& parameters, std::uint64_t seed)
      : scenario_(parameters), arrivals_(seed) {
    spec_.name = "orders";
    for (std::uint32_t i = 0; i < kZones * kUpstreams; ++i) owners_.emplace_back();
    for (std::uint32_t i = 0; i < kZones * kEntries; ++i) {
      entries_.push_back(std::make_unique<entry>(seed + 1 + i));
    }
    ShowMembers();
    for (std::uint32_t zone = 0; zone < kZones; ++zone) {
      ScheduleArrival(zone);
    }
    for (std::uint32_t owner = 0; owner < owners_.size(); ++owner) {
      After(duration{static_cast<duration::rep>(owner * 200'000 / owners_.size())},
            [this, owner] { Broadcast(owner); });
    }
    if (scenario_.lost_until_s > 0) {
      After(FromSeconds(scenario_.lost_from_s), [this] { Lose(); });
      After(FromSeconds(scenario_.lost_until_s), [this] { Return(); });
    }
  }

  zone_run_result Run() {
    // The last requests may end after the scenario.
    const time_point end = time_point() + FromSeconds(scenario_.length_s) + 2 * kTimeLimit;
    while (!events_.empty() && events_.top().at <= end) {
      event next = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = next.at;
      next.action();
    }
    for (std::size_t i = 0; i < result_.left_zone_0.size(); ++i) {
      result_.left_zone_0[i] /= std::max(sent_by_zone_0_[i], 1.0);
    }
    return result_;
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  struct call {
    time_point arrival;
    std::uint32_t entry = 0;
    duration work{};
    std::vector<member_id> tried;
  };
  using call_pointer = std::shared_ptr<call>;
  struct owner_state {
    std::deque<std::pair<call_pointer, std::uint64_t>> queue;
    std::uint32_t running = 0;
    std::uint64_t sequence = 0;
    std::uint64_t life = 1;
    hint_rate_limiter limiter;
  };
  struct entry {
    explicit entry(std::uint64_t seed) : routing(seed) {}
    routing_system<Policy> routing;
    double retries = 20;
  };

  static duration FromSeconds(double seconds) {
    return duration(static_cast<duration::rep>(seconds * 1e6));
  }
  double Seconds() const { return static_cast<double>((now_ - time_point()).count()) / 1e6; }
  static std::uint32_t ZoneOfOwner(std::uint32_t owner) { return owner / kUpstreams; }
  static std::uint32_t ZoneOfEntry(std::uint32_t entry) { return entry / kEntries; }
  static member_id IdOfOwner(std::uint32_t owner) { return member_id{owner + 1}; }
  /// The first entries of a zone are beside its upstreams; the others have none.
  static member_id IdOfEntry(std::uint32_t entry) {
    const std::uint32_t place = entry % kEntries;
    return place < kUpstreams ? IdOfOwner(ZoneOfEntry(entry) * kUpstreams + place)
                              : member_id{1000 + entry};
  }
  bool IsLost(std::uint32_t zone) const { return is_lost_ && zone == 0; }
  duration OneWay(std::uint32_t entry, std::uint32_t owner) const {
    if (IdOfEntry(entry) == IdOfOwner(owner)) return duration(0);
    return duration{ZoneOfEntry(entry) == ZoneOfOwner(owner) ? 100 : 900};
  }

  void After(duration time, std::function<void()> action) {
    events_.push({now_ + time, ++order_, std::move(action)});
  }

  void ShowMembers() {
    std::vector<member_row> members;
    for (std::uint32_t i = 0; i < owners_.size(); ++i) {
      member_row row;
      row.id = IdOfOwner(i);
      row.incarnation = incarnation_id{owners_[i].life};
      row.service = spec_.name;
      row.region = "north";
      row.availability_zone = std::to_string(ZoneOfOwner(i));
      row.state = IsLost(ZoneOfOwner(i)) ? member_state::kDead : member_state::kAlive;
      members.push_back(row);
    }
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
      entries_[i]->routing.OnMembers(members, IdOfEntry(i), "north",
                                     std::to_string(ZoneOfEntry(i)), now_);
    }
  }
  void Lose() {
    is_lost_ = true;
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      owners_[i].queue.clear();
      owners_[i].running = 0;
      ++owners_[i].life;
    }
    // The death is known after a suspicion.
    After(std::chrono::milliseconds(800), [this] { ShowMembers(); });
  }
  void Return() {
    is_lost_ = false;
    ShowMembers();
  }

  load_hint Hint(owner_state& owner) {
    load_hint hint;
    hint.sequence = ++owner.sequence;
    hint.effective_slots = kSlots;
    hint.in_use = owner.running;
    hint.queued_short = static_cast<std::uint32_t>(owner.queue.size());
    hint.service_time_us = static_cast<std::uint32_t>(kMeanWorkUs);
    return hint;
  }
  void Deliver(std::uint32_t owner, std::uint32_t to, const load_hint& hint,
               std::uint64_t life) {
    entries_[to]->routing.OnHint(IdOfOwner(owner), incarnation_id{life}, hint, now_);
  }
  void Broadcast(std::uint32_t owner) {
    After(std::chrono::milliseconds(200), [this, owner] { Broadcast(owner); });
    if (IsLost(ZoneOfOwner(owner))) return;
    const load_hint hint = Hint(owners_[owner]);
    for (std::uint32_t to = 0; to < entries_.size(); ++to) {
      After(scenario_.hint_delay + OneWay(to, owner),
            [this, owner, to, hint, life = owners_[owner].life] {
              Deliver(owner, to, hint, life);
            });
    }
  }

  void ScheduleArrival(std::uint32_t zone) {
    constexpr double kCapacityPerUs = kUpstreams * kSlots / kMeanWorkUs;
    const double demand = std::max(scenario_.demand(zone, Seconds()), 0.01);
    const double gap = std::exponential_distribution<>(demand * kCapacityPerUs)(arrivals_);
    After(duration(static_cast<duration::rep>(gap)), [this, zone] {
      if (Seconds() >= scenario_.length_s) return;
      ScheduleArrival(zone);
      std::uint32_t at = zone;
      if (IsLost(zone)) at = 1 + static_cast<std::uint32_t>(arrivals_() % (kZones - 1));
      auto item = std::make_shared<call>();
      item->arrival = now_;
      item->entry = at * kEntries + static_cast<std::uint32_t>(arrivals_() % kEntries);
      item->work = duration{static_cast<duration::rep>(work_(arrivals_))};
      ++result_.offered;
      entry& from = *entries_[item->entry];
      from.retries = std::min(from.retries + 0.2, 20.0);
      Send(item);
    });
  }

  void Count(std::vector<double>& windows, double amount) {
    const auto window = static_cast<std::size_t>(Seconds() * 10);
    if (windows.size() <= window) windows.resize(window + 1);
    windows[window] += amount;
  }

  void Send(const call_pointer& item) {
    entry& from = *entries_[item->entry];
    const std::uint32_t zone = ZoneOfEntry(item->entry);
    const std::uint32_t place = item->entry % kEntries;
    if (place < kUpstreams) {
      const std::uint32_t own = zone * kUpstreams + place;
      from.routing.OnHint(IdOfOwner(own), incarnation_id{owners_[own].life}, Hint(owners_[own]),
                          now_);
    }
    choice_request request;
    request.content_length = kMessageBytes;
    request.deadline = item->arrival + kTimeLimit;
    const choice_result chosen = from.routing.Choose(spec_, request, item->tried, now_);
    if (!chosen.member) return;
    const auto owner = static_cast<std::uint32_t>(chosen.member->value - 1);
    item->tried.push_back(*chosen.member);
    ++result_.attempts;
    from.routing.OnAttemptSent(*chosen.member, chosen.is_trial, now_);
    const bool crosses = ZoneOfOwner(owner) != zone;
    if (crosses) result_.cross_zone_bytes += kMessageBytes;
    if (zone == 0) Count(sent_by_zone_0_, 1);
    if (zone == 0) Count(result_.left_zone_0, crosses ? 1 : 0);
    Count(result_.into_zone_0, crosses && ZoneOfOwner(owner) == 0 ? 1 : 0);
    After(OneWay(item->entry, owner),
          [this, item, owner, trial = chosen.is_trial] { Arrive(item, owner, trial); });
  }

  void Arrive(const call_pointer& item, std::uint32_t owner, bool trial) {
    owner_state& at = owners_[owner];
    if (IsLost(ZoneOfOwner(owner))) {
      Respond(item, owner, attempt_end::kFailed, trial, false);
      return;
    }
    if (at.running < kSlots) {
      Start(item, owner);
      return;
    }
    const double wait = (static_cast<double>(at.queue.size()) + 1) * kMeanWorkUs / kSlots;
    const duration left = item->arrival + kTimeLimit - now_;
    if (wait + 2 * kMeanWorkUs > static_cast<double>(left.count())) {
      Respond(item, owner, attempt_end::kRefused, trial, true);
      return;
    }
    at.queue.emplace_back(item, at.life);
  }

  void Start(const call_pointer& item, std::uint32_t owner) {
    owner_state& at = owners_[owner];
    ++at.running;
    After(item->work, [this, item, owner, life = at.life] {
      owner_state& done = owners_[owner];
      if (done.life != life) return;
      --done.running;
      Respond(item, owner, attempt_end::kCompleted, false, true);
      while (done.running < kSlots && !done.queue.empty()) {
        const call_pointer next = done.queue.front().first;
        done.queue.pop_front();
        if (now_ >= next->arrival + kTimeLimit) continue;
        Start(next, owner);
      }
    });
  }

  void Respond(const call_pointer& item, std::uint32_t owner, attempt_end end, bool trial,
               bool has_hint) {
    owner_state& at = owners_[owner];
    if (ZoneOfOwner(owner) != ZoneOfEntry(item->entry) && end == attempt_end::kCompleted) {
      result_.cross_zone_bytes += kMessageBytes;
    }
    const duration way = OneWay(item->entry, owner);
    const load_hint hint = Hint(at);
    const bool is_refusal = end == attempt_end::kRefused;
    if (has_hint && at.limiter.IsDue(IdOfEntry(item->entry), hint, is_refusal, now_)) {
      After(way + scenario_.hint_delay, [this, item, owner, hint, life = at.life] {
        Deliver(owner, item->entry, hint, life);
      });
    }
    After(way, [this, item, owner, end, trial] {
      entry& from = *entries_[item->entry];
      from.routing.OnAttemptEnded(IdOfOwner(owner), end, trial, now_);
      const bool is_in_time = now_ <= item->arrival + kTimeLimit;
      if (end == attempt_end::kCompleted) {
        if (is_in_time) ++result_.in_time;
        return;
      }
      if (!is_in_time || item->tried.size() >= 3 || from.retries < 1) return;
      from.retries -= 1;
      Send(item);
    });
  }

  zone_scenario scenario_;
  /// Arrivals and work are drawn from one source, so that all policies get the same ones.
  std::mt19937_64 arrivals_;
  std::lognormal_distribution<> work_{std::log(kMeanWorkUs) - kWorkSigma * kWorkSigma / 2,
                                      kWorkSigma};
  service_spec spec_;
  time_point now_;
  std::uint64_t order_ = 0;
  bool is_lost_ = false;
  std::priority_queue<event> events_;
  std::vector<owner_state> owners_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<double> sent_by_zone_0_;
  zone_run_result result_;
};

}  // namespace bronzeroute
