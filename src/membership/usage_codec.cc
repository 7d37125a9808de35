#include "src/membership/usage_codec.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "proto/membership.pb.h"
#include "src/accounts/usage_message.h"

namespace bronzeroute {
namespace {

using proto::MemberDatagram;

MemberDatagram::Kind KindOf(usage_message::kind type) {
  switch (type) {
    case usage_message::kind::kRequest:
      return MemberDatagram::USAGE_REQUEST;
    case usage_message::kind::kReply:
      return MemberDatagram::USAGE_REPLY;
    case usage_message::kind::kDelegation:
      break;
  }
  return MemberDatagram::USAGE_DELEGATION;
}

std::optional<usage_message::kind> TypeOf(MemberDatagram::Kind kind) {
  switch (kind) {
    case MemberDatagram::USAGE_DELEGATION:
      return usage_message::kind::kDelegation;
    case MemberDatagram::USAGE_REQUEST:
      return usage_message::kind::kRequest;
    case MemberDatagram::USAGE_REPLY:
      return usage_message::kind::kReply;
    default:
      return std::nullopt;
  }
}

}  // namespace

void WriteUsageMessage(const usage_message& message, MemberDatagram* out) {
  out->set_kind(KindOf(message.type));
  out->set_sequence(message.sequence);
  out->set_usage_account(message.account);
  out->set_usage_tokens(message.tokens);
  const duration::rep most = std::numeric_limits<std::uint32_t>::max();
  out->set_usage_wait_us(
      static_cast<std::uint32_t>(std::clamp<duration::rep>(message.wait.count(), 0, most)));
  out->set_usage_groups(message.groups);
  out->set_usage_members(message.members);
}

std::optional<usage_message> ReadUsageMessage(const MemberDatagram& in) {
  const auto type = TypeOf(in.kind());
  if (!type) return std::nullopt;
  return usage_message{.type = *type,
                       .peer = member_id{in.sender()},
                       .sequence = in.sequence(),
                       .account = in.usage_account(),
                       .tokens = in.usage_tokens(),
                       .wait = std::chrono::microseconds(in.usage_wait_us()),
                       .groups = in.usage_groups(),
                       .members = in.usage_members()};
}

}  // namespace bronzeroute
