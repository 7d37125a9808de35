#pragma once

#include <cstdint>
#include <string>

#include "src/base/time.h"

namespace bronzeroute {

/// What the upstream beside this daemon last announced.
struct upstream_announcement {
  std::string service{};
  /// "ip:port" at which the upstream takes requests.
  std::string address{};
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Identity of this incarnation of the upstream; empty where upstreams have none.
  std::string identity{};
  /// Start of the incarnation on the upstream's clock, in Unix milliseconds.
  std::int64_t started_ms = 0;
  /// Counts the announcements of the incarnation.
  std::uint64_t sequence = 0;
  /// The upstream leaves and takes no new work.
  bool is_leaving = false;
  /// End of the time in which the upstream is slow after its start.
  time_point warm_at{};
  /// The upstream counts as gone if no announcement arrives before.
  time_point gone_at{};
};

}  // namespace bronzeroute
