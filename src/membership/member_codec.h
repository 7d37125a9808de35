#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/membership/member_update.h"
#include "src/routing/load_hint.h"

namespace bronzeroute::proto {
class LoadHint;
class MemberRecord;
}  // namespace bronzeroute::proto

namespace bronzeroute {

void WriteMemberRecord(const member_update& update, proto::MemberRecord* record);
/// Nothing if the record has no id or a state that this build does not define.
std::optional<member_update> ReadMemberRecord(const proto::MemberRecord& record);

void WriteLoadHint(const load_hint& hint, proto::LoadHint* out);
load_hint ReadLoadHint(const proto::LoadHint& in);

/// A record of the log stream `members`.
std::string EncodeMemberLogRecord(const member_update& update);
/// Nothing if `data` is not such a record.
std::optional<member_update> DecodeMemberLogRecord(std::string_view data);

}  // namespace bronzeroute
