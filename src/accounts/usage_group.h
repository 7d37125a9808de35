#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Accounts are lent in groups, so that a daemon renews its delegations with one datagram for
/// each of at most this many lenders, however many accounts there are.
inline constexpr std::uint32_t kUsageGroups = 32;

/// Group of the account, below `kUsageGroups`; the same at all daemons.
std::uint32_t UsageGroupOf(std::string_view account);

/// The lender of `group` among `live` by rendezvous hashing; member 0 if there is none.
member_id UsageLenderOf(std::uint32_t group, std::span<const member_id> live);

}  // namespace bronzeroute
