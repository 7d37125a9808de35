#pragma once

#include <cstdint>

#include "src/base/strong_id.h"
#include "src/configuration/configuration_event_kind.h"

namespace bronzeroute {

/// A step on the way of a version from a peer.
struct configuration_event {
  configuration_event_kind kind = configuration_event_kind::kNewerVersionReported;
  member_id peer;
  /// The version of the peer.
  std::int64_t version = -1;
};

}  // namespace bronzeroute
