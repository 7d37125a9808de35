#pragma once

#include <string_view>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Opens and closes the channels to other daemons. Implemented by the transport.
class peer_link_port {
 public:
  virtual ~peer_link_port() = default;

  /// Makes `peer` at `address` ("ip:port") a possible target of attempts. With `keeps_open` the
  /// channel for short work is opened now and whenever it breaks, otherwise with the first
  /// attempt.
  virtual void OpenPeer(member_id peer, std::string_view address, bool keeps_open) = 0;
  /// Closes the channels once all attempts on them have ended.
  virtual void ClosePeer(member_id peer) = 0;
  /// Sets the address at which the upstream beside this daemon accepts requests; empty if there
  /// is no upstream.
  virtual void SetUpstream(std::string_view address, std::string_view identity) = 0;
};

}  // namespace bronzeroute
