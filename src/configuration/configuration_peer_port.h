#pragma once

#include <cstdint>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Other daemons as the second source of the configuration. Results come back as events.
/// Implemented over gRPC, mocked in tests.
class configuration_peer_port {
 public:
  virtual ~configuration_peer_port() = default;

  /// Asks `peer` for its configuration if it is newer than `known_version`. Answered by
  /// `configuration_system::OnSnapshot` or `OnSnapshotFailed`.
  virtual void FetchSnapshot(member_id peer, std::int64_t known_version) = 0;
};

}  // namespace bronzeroute
