#pragma once

#include <string_view>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Opens and closes the channels to other daemons. Implemented by the transport.
class peer_link_port {
 public:
  virtual ~peer_link_port() = default;

  /// Opens the channels to `peer` at `address` ("ip:port") if they are not open there.
  virtual void OpenPeer(member_id peer, std::string_view address) = 0;
  /// Closes the channels once the attempts on them are over.
  virtual void ClosePeer(member_id peer) = 0;
  /// The upstream beside this daemon takes requests at `address`; empty if it is gone.
  virtual void SetUpstream(std::string_view address, std::string_view identity) = 0;
};

}  // namespace bronzeroute
