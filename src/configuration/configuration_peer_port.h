#pragma once

#include <cstdint>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Access to other daemons, from which the configuration is fetched when the log does not
/// supply it. Results are delivered as events. Implemented over gRPC, mocked in tests.
class configuration_peer_port {
 public:
  virtual ~configuration_peer_port() = default;

  /// Requests the configuration of `peer` if it is newer than `known_version`. The result is
  /// delivered to `configuration_system::OnSnapshot` or `OnSnapshotFailed`.
  virtual void FetchSnapshot(member_id peer, std::int64_t known_version) = 0;
};

}  // namespace bronzeroute
