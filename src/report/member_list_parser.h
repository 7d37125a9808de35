#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "src/report/member_list.h"

namespace bronzeroute {

/// Parses the JSON of `GET /.bronzeroute/v1/members`. Fails if a member lacks a field or has an
/// unknown state.
absl::StatusOr<member_list> ParseMemberList(const std::string& json);

}  // namespace bronzeroute
