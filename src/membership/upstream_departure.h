#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeroute {

/// An incarnation of an upstream that has left and gets no new work.
struct upstream_departure {
  std::string identity;
  /// Start of the incarnation on the upstream's clock, in Unix milliseconds.
  std::int64_t started_ms = 0;
  /// False if the start is unknown; `started_ms` then is an upper bound.
  bool is_exact = true;

  friend bool operator==(const upstream_departure&, const upstream_departure&) = default;
};

/// Bounds of the departures that a member's record carries: datagrams have room for a few, and
/// late announcements concern the most recent ones.
inline constexpr std::size_t kMaxDepartures = 3;
inline constexpr std::size_t kMaxDepartureIdentityBytes = 100;

/// Adds `added` as the most recent of at most kMaxDepartures. Returns false if `to` has it, or
/// a later start of the same identity, already, or if the identity is empty or too long.
bool AddDeparture(std::vector<upstream_departure>& to, const upstream_departure& added);

}  // namespace bronzeroute
