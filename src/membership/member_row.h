#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/membership/member_state.h"
#include "src/membership/upstream_departure.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

/// One daemon with its upstream. Rows of the member table.
struct member_row {
  member_id id;
  incarnation_id incarnation;
  /// Counts refuted suspicions within one incarnation.
  std::uint64_t refutation = 0;
  member_state state = member_state::kAlive;
  /// Service of the upstream; empty while no upstream has announced itself.
  std::string service;
  std::string region;
  std::string availability_zone;
  /// Addresses as "ip:port".
  std::string peer_address;
  std::string membership_address;
  std::string callers_address;
  std::string admin_address;
  /// Upstreams beside this daemon that have left, the most recent last.
  std::vector<upstream_departure> departures;
  bool draining = false;
  std::int64_t config_version = -1;
  load_hint hint;
  time_point hint_received;
};

}  // namespace bronzeroute
