#pragma once

#include <cstdint>
#include <string>

#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// A message between two daemons on usage caps.
struct usage_message {
  enum class kind : std::uint8_t {
    /// Delegates the sender's shares of `groups` to the receiver.
    kDelegation,
    /// Delegates as well, and asks for `tokens` of `account`.
    kRequest,
    /// Lends `tokens` of `account`, or none for the time `wait`.
    kReply,
  };
  kind type = kind::kDelegation;
  /// The other daemon: the receiver of a message to send, the sender of a received one.
  member_id peer;
  /// Chosen by the sender of a request, repeated in its reply.
  std::uint64_t sequence = 0;
  std::string account{};
  std::uint32_t tokens = 0;
  duration wait{};
  /// Bit g is set if group g is delegated to the receiver, for `kDelegationLease`.
  std::uint32_t groups = 0;
  /// Number of members that the sender knows; its share is the reciprocal.
  std::uint32_t members = 0;
};

}  // namespace bronzeroute
