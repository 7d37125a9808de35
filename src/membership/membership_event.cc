#include "src/membership/membership_event.h"

#include <string_view>

namespace bronzeroute {

std::string DescribeEvent(const membership_event& event) {
  const auto line = [&event](std::string_view what) {
    return "member: " + event.peer_address + " run " + std::to_string(event.run.value) + " " +
           std::string(what);
  };
  using enum membership_event_kind;
  switch (event.kind) {
    case kJoined:
      return line("joined");
    case kNewRun:
      return line("restarted");
    case kSuspect:
      return line("is suspect");
    case kAlive:
      return line("is alive");
    case kDead:
      return line("is dead");
    case kLeft:
      return line("left");
    case kDraining:
      return line("is draining");
    case kDetailsChanged:
      return line("changed its details");
    case kForgotten:
      return line("is forgotten");
    case kWoke:
      return "member: slept " + std::to_string(event.number) + " ms, announcing again";
    case kRefuted:
      return "member: refuted a suspicion, counter " + std::to_string(event.number);
    case kOwnRunRaised:
      return line("is the own run, raised above one seen");
    case kUpstreamAnnounced:
      return line("has its upstream");
    case kUpstreamGone:
      return line("lost its upstream");
    case kLogOut:
      return "member: log unavailable";
    case kLogBack:
      return "member: log available";
    case kNewerConfiguration:
      break;
  }
  return line("has configuration version " + std::to_string(event.number));
}

}  // namespace bronzeroute
