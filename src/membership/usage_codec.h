#pragma once

#include <optional>

namespace bronzeroute::proto {
class MemberDatagram;
}  // namespace bronzeroute::proto

namespace bronzeroute {

struct usage_message;

/// Sets kind, sequence and the fields for usage caps.
void WriteUsageMessage(const usage_message& message, proto::MemberDatagram* out);
/// Nothing if the datagram is of another kind. `peer` is the sender.
std::optional<usage_message> ReadUsageMessage(const proto::MemberDatagram& in);

}  // namespace bronzeroute
