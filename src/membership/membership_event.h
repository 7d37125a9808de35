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
  /// This process slept, counted its refutation up and announces itself again.
  kResumedAfterFreeze,
  /// This process refuted a suspicion of itself.
  kRefuted,
  /// A record named a later run of this member: the own run was raised above it.
  kOwnIncarnationBumped,
  kUpstreamAnnounced,
  kUpstreamGone,
  kLogOut,
  kLogBack,
  /// A peer has a configuration version above all seen before; `number` is the version.
  kNewerConfiguration,
};

/// A change of membership as this process learned of it.
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
