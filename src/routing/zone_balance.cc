#include "src/routing/zone_balance.h"

#include <algorithm>
#include <cmath>

#include "src/routing/score_function.h"

namespace bronzeroute {
namespace {

using std::chrono::seconds;

// Work per slot of the own zone below which nothing leaves, and from which the full limits
// apply. The ramp between them avoids a jump at one value.
constexpr double kSufficient = 0.60;
constexpr double kOverloaded = 0.80;
// Work per slot above which a zone takes no work from other zones: the rest is for the
// variation of its own demand. Another region is a target only while it is emptier.
constexpr double kRegionLimit = 0.92;
constexpr double kOtherRegionLimit = 0.70;
// Load of the own zone from which work goes to another region, if its own has no room.
constexpr double kOverloadedForRegions = 1.2;
// Part of a target's free slots that its sources may add in about kShareTimeS.
constexpr double kGrowth = 1.0;
// Time constant of the measured shares. It exceeds the age of a hint of an upstream that gets
// no work from here (0.2 s), so that the effect of a step is seen before the next one.
constexpr double kShareTimeS = 0.5;
// Time constant of a target's load. The load of two dozen slots varies by a sixth by chance,
// and a limit that falls at each peak would stay far below the room there is.
constexpr double kLoadTimeS = 0.25;
// Load above the limit at which a target gets nothing more.
constexpr double kFullRange = 0.15;
// Requests that may leave at once after others have stayed.
constexpr double kMaxAllowance = 3;
constexpr double kNegligible = 0.002;
constexpr duration kLostAfter = seconds(1);

double Load(const zone_load& zone) { return zone.occupancy / zone.slots; }
double Use(const zone_load& zone) { return zone.in_use / zone.slots; }

bool IsInformative(const zone_load& zone) {
  return zone.slots > 0 && zone.fresh_members * 2 >= zone.members;
}

bool IsHome(const zone_load& zone) {
  return zone.where == distance::kSameInstance || zone.where == distance::kSameZone;
}

double LoadLimit(distance where) {
  return where == distance::kSameRegion ? kRegionLimit : kOtherRegionLimit;
}

}  // namespace

const zone_balance::target* zone_balance::Find(std::uint32_t zone) const {
  const auto found = std::ranges::find(targets_, zone, &target::zone);
  return found == targets_.end() ? nullptr : &*found;
}

zone_balance::target& zone_balance::Add(std::uint32_t zone, time_point now) {
  const auto found = std::ranges::find(targets_, zone, &target::zone);
  if (found != targets_.end()) return *found;
  targets_.push_back({.zone = zone, .first_seen = now, .last_seen = now});
  return targets_.back();
}

void zone_balance::MeasureShares(double elapsed_s) {
  if (requests_ > 0) {
    const double weight = 1 - std::exp(-elapsed_s / kShareTimeS);
    for (target& each : targets_) {
      const double measured = static_cast<double>(each.sent) / requests_;
      each.share += weight * (measured - each.share);
      if (each.share < kNegligible) each.share = 0;
      each.sent = 0;
    }
  }
  requests_ = 0;
}

void zone_balance::MeasureRooms(std::span<const zone_load> zones, double elapsed_s,
                                time_point now) {
  double service_time = 0;
  double informed = 0;
  for (const zone_load& zone : zones) {
    if (!IsInformative(zone)) continue;
    service_time += zone.service_time_us;
    ++informed;
  }
  if (informed > 0 && !first_informed_) first_informed_ = now;
  for (target& each : targets_) each.room = each.slots = 0;
  for (const zone_load& zone : zones) {
    if (IsHome(zone) || !IsInformative(zone)) continue;
    target& to = Add(zone.zone, now);
    if (now - to.last_seen > kLostAfter) to.first_seen = now;
    const bool is_new = to.first_seen == now;
    to.load += (is_new ? 1 : 1 - std::exp(-elapsed_s / kLoadTimeS)) * (Use(zone) - to.load);
    to.last_seen = now;
    to.where = zone.where;
    to.slots = zone.slots;
    const bool is_slow = zone.service_time_us > kSlowFactor * service_time / informed;
    const bool is_limited = zone.limited_members * 2 >= zone.members;
    // Zones that were there when this process got its first hints are not known to have
    // returned.
    const bool is_back =
        to.first_seen > *first_informed_ + kLostAfter && now - to.first_seen < kReturnTime;
    const bool is_usable = !is_back && !is_slow && !is_limited;
    to.room = is_usable ? (LoadLimit(zone.where) - to.load) * zone.slots : -zone.slots;
  }
  std::erase_if(targets_,
                [now](const target& each) { return now - each.last_seen > kReturnTime; });
}

void zone_balance::SetLimits(double load, double demand, double growth) {
  const double gate = std::clamp((load - kSufficient) / (kOverloaded - kSufficient), 0.0, 1.0);
  const bool region_has_room = std::ranges::any_of(targets_, [](const target& each) {
    return each.where == distance::kSameRegion && each.room > 0;
  });
  for (target& each : targets_) {
    const bool is_open = each.where == distance::kSameRegion ||
                         (load >= kOverloadedForRegions && !region_has_room);
    if (each.slots <= 0 || !is_open) {
      each.limit = 0;
    } else if (each.room >= 0) {
      each.limit = gate * (each.share + growth * each.room / demand);
    } else {
      each.limit = gate * each.share * std::max(1 + each.room / each.slots / kFullRange, 0.0);
    }
    each.limit = std::min(each.limit, 1.0);
    if (each.limit <= 0) each.allowance = 0;
  }
}

void zone_balance::Update(std::span<const zone_load> zones, time_point now) {
  if (now < next_update_) return;
  const double elapsed_s = static_cast<double>((now - last_update_).count()) / 1e6;
  MeasureShares(elapsed_s);
  next_update_ = now + kPeriod;
  last_update_ = now;
  const auto home = std::ranges::find_if(
      zones, [](const zone_load& zone) { return IsHome(zone) && IsInformative(zone); });
  MeasureRooms(zones, elapsed_s, now);
  share_ = {};
  if (home == zones.end()) {
    for (target& each : targets_) each.limit = each.allowance = 0;
    return;
  }
  const auto sources = 1 + std::ranges::count_if(targets_, [](const target& each) {
                         return each.load > kRegionLimit;
                       });
  const double load = Load(*home);
  const double demand = std::clamp(home->occupancy, home->slots / 2, home->slots);
  SetLimits(load, demand, kGrowth / static_cast<double>(sources));
  bool has_room = false;
  for (const target& each : targets_) {
    (each.where == distance::kSameRegion ? share_.to_region : share_.to_other_regions) +=
        each.share;
    has_room = has_room || each.limit > 0;
  }
  if (load < kSufficient) {
    share_.reason = zone_share_reason::kHomeSuffices;
  } else {
    share_.reason =
        has_room ? zone_share_reason::kHomeLoaded : zone_share_reason::kNoRoomElsewhere;
  }
}

bool zone_balance::MayLeaveTo(std::uint32_t zone) const {
  const target* const to = Find(zone);
  return to != nullptr && to->allowance + to->limit >= 1;
}

bool zone_balance::HasRoom(std::uint32_t zone) const {
  const target* const to = Find(zone);
  return to != nullptr && to->room > 0;
}

void zone_balance::OnSent(std::optional<std::uint32_t> zone) {
  ++requests_;
  for (target& each : targets_) {
    each.allowance = std::min(each.allowance + each.limit, kMaxAllowance);
    if (each.zone != zone) continue;
    ++each.sent;
    each.allowance = std::max(each.allowance - 1, 0.0);
  }
}

}  // namespace bronzeroute
