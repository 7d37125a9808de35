#pragma once

#include <string_view>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Opens and closes the channels to other daemons. Implemented by the transport.
class peer_link_port {
 public:
  virtual ~peer_link_port() = default;

  /// Opens the channels to `peer` at `address` ("ip:port") unless they are open at that
  /// address.
  virtual void OpenPeer(member_id peer, std::string_view address) = 0;
  /// Closes the channels once all attempts on them have ended.
  virtual void ClosePeer(member_id peer) = 0;
  /// Sets the address at which the upstream beside this daemon accepts requests; empty if there
  /// is no upstream.
  virtual void SetUpstream(std::string_view address, std::string_view identity) = 0;
};

}  // namespace bronzeroute
