#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "src/calls/member_target.h"

namespace bronzeroute {

/// The home of an idempotency key is the daemon incarnation that keeps the row of the key, i.e.
/// the state of its tries. For a key chosen by the caller it is the member with the highest
/// hash of member and key, so that all entries with the same members agree, and a membership
/// change moves few keys.
std::optional<member_target> HomeOfOwnKey(std::string_view key,
                                          std::span<const member_target> members);

}  // namespace bronzeroute
