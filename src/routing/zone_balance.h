#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "src/base/time.h"
#include "src/routing/zone_load.h"
#include "src/routing/zone_share.h"

namespace bronzeroute {

/// Limits for one service the share of this process's requests that may leave its zone, by
/// target zone. A limit is the share that leaves already plus a part of the target's free
/// slots, so that work moves in steps that the target can take, however many entries decide
/// alike. It falls as soon as the target is nearly full or the own zone suffices.
class zone_balance {
 public:
  /// Shortest time between two changes of the limits.
  static constexpr duration kPeriod = std::chrono::milliseconds(50);
  /// A zone is no target for this time after it was first seen or came back: its upstreams are
  /// cold, and its own callers return.
  static constexpr duration kReturnTime = std::chrono::seconds(3);

  /// Changes the limits if kPeriod has passed. A zone that is not named for a second counts as
  /// lost.
  void Update(std::span<const zone_load> zones, time_point now);
  /// True if the next request may go to `zone`, another than that of this process.
  bool MayLeaveTo(std::uint32_t zone) const;
  /// A request was sent to `zone`; nothing for the zone of this process.
  void OnSent(std::optional<std::uint32_t> zone);
  /// True if `zone` has free slots for work of other zones. A request that the own zone refused
  /// may go there whatever the limits are.
  bool HasRoom(std::uint32_t zone) const;

  /// True if the hints suffice for a decision.
  bool IsInformed() const { return share_.reason != zone_share_reason::kNoInformation; }
  /// The share that left in about the last half second.
  const zone_share& share() const { return share_; }

 private:
  struct target {
    std::uint32_t zone = 0;
    distance where = distance::kSameRegion;
    /// Share of the requests that went there, a moving average, and its limit.
    double share = 0;
    double limit = 0;
    /// Free slots below the load up to which the zone takes work of others; negative above it.
    double room = 0;
    double slots = 0;
    /// Share of the slots in use, a moving average.
    double load = 0;
    /// Requests sent there since the last update.
    std::uint32_t sent = 0;
    /// Sum of `limit` over the requests since the last one that used it up.
    double allowance = 0;
    time_point first_seen;
    time_point last_seen;
  };

  const target* Find(std::uint32_t zone) const;
  target& Add(std::uint32_t zone, time_point now);
  void MeasureShares(double elapsed_s);
  void MeasureRooms(std::span<const zone_load> zones, double elapsed_s, time_point now);
  /// Sets the limits for a home zone with `load` per slot and `demand` slots; `growth` is the
  /// part of a target's room that may be added.
  void SetLimits(double load, double demand, double growth);

  std::optional<time_point> first_informed_;
  time_point next_update_;
  time_point last_update_;
  std::vector<target> targets_;
  std::uint32_t requests_ = 0;
  zone_share share_;
};

}  // namespace bronzeroute
