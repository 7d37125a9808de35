#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "src/report/member_list.h"

namespace bronzeroute {

/// Reads the JSON of `GET /.bronzeroute/v1/members`. Fails if a member lacks a field or has a
/// state that is not known.
absl::StatusOr<member_list> ParseMemberList(const std::string& json);

}  // namespace bronzeroute
