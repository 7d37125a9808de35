#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/strong_id.h"

namespace bronzeroute {

enum class membership_event_kind : std::uint8_t {
  kJoined,
  kNewIncarnation,
  kSuspect,
  kAlive,
  kDead,
  kLeft,
  kDraining,
  kDetailsChanged,
  kForgotten,
  /// This process resumed after a freeze, incremented its refutation counter and announces
  /// itself again; `number` is the length of the freeze in ms.
  kResumedAfterFreeze,
  /// This process refuted a suspicion of itself.
  kRefuted,
  /// A record or datagram named a later incarnation of this member: the own one was raised
  /// above it.
  kOwnIncarnationBumped,
  kUpstreamAnnounced,
  kUpstreamGone,
  kLogLost,
  kLogRegained,
  /// The log no longer has the record that this member appended last.
  kOwnRecordLost,
  /// A peer has a configuration version above all seen before; `number` is the version.
  kNewerConfiguration,
};

/// A change of membership that this process detected or received.
struct membership_event {
  membership_event_kind kind = membership_event_kind::kJoined;
  member_id id;
  incarnation_id incarnation;
  std::string peer_address;
  std::int64_t number = 0;
};

/// The name of the event in logs, for example "member_joined".
std::string_view EventName(membership_event_kind kind);

}  // namespace bronzeroute
