#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace bronzeroute {

/// Bookkeeping beside a member row that only the membership system needs.
struct member_track {
  std::uint32_t details_version = 0;
  /// Digest of the row as counted in its bucket; 0 while the row is not live.
  std::uint32_t digest = 0;
  /// Datagrams that will still carry this row's last change.
  std::uint32_t transmits_left = 0;
  /// The change includes the details.
  bool transmit_details = false;
  /// The change is pushed to peers at once instead of waiting for the next probe.
  bool urgent = false;
  /// Read only from an old log record; no peer has confirmed it yet.
  bool unconfirmed = false;
  /// A peer reported this dead member as alive; it is probed soon.
  bool reported_alive = false;
  /// End of the suspicion while suspect; removal of the row while dead or left.
  time_point deadline = time_point::max();
};

}  // namespace bronzeroute
