#include "src/membership/membership_event.h"

namespace bronzeroute {

std::string_view EventName(membership_event_kind kind) {
  using enum membership_event_kind;
  switch (kind) {
    case kJoined:
      return "member_joined";
    case kNewIncarnation:
      return "member_restarted";
    case kSuspect:
      return "member_suspect";
    case kAlive:
      return "member_alive";
    case kDead:
      return "member_dead";
    case kLeft:
      return "member_left";
    case kDraining:
      return "member_draining";
    case kDetailsChanged:
      return "member_details_changed";
    case kForgotten:
      return "member_forgotten";
    case kResumedAfterFreeze:
      return "woke_after_ms";
    case kRefuted:
      return "suspicion_refuted";
    case kOwnIncarnationBumped:
      return "own_run_raised";
    case kUpstreamAnnounced:
      return "upstream_announced";
    case kUpstreamGone:
      return "upstream_gone";
    case kLogLost:
      return "log_lost";
    case kLogRegained:
      return "log_regained";
    case kOwnRecordLost:
      return "own_record_lost";
    case kNewerConfiguration:
      break;
  }
  return "newer_configuration_heard";
}

}  // namespace bronzeroute
