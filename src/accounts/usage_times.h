#pragma once

#include <chrono>

#include "src/base/time.h"

namespace bronzeroute {

/// Life of a token from the time at which it was requested. With 500 ms the bound would leave
/// nothing for the depth of pools with a burst of 0, which then refuse requests that arrive
/// unevenly (7.9% of them at 540 daemons, bench/usage_cost).
inline constexpr duration kTokenLife = std::chrono::milliseconds(400);
/// Time for which a lender uses a delegated share without a renewal.
inline constexpr duration kDelegationLease = std::chrono::seconds(3);
/// Time from its last renewal until a daemon may delegate its share to another lender. Exceeds
/// the lease by the longest time for which a datagram may wait before the lender reads it.
inline constexpr duration kDelegationHold = std::chrono::milliseconds(4250);
/// Two renewals fit into the lease, so that one may be lost.
inline constexpr duration kRenewalInterval = std::chrono::milliseconds(1200);
/// A longer gap between events means that this process was suspended. Its tokens and the
/// delegations to it are dropped.
inline constexpr duration kUsageFreezeGap = std::chrono::seconds(1);
/// Time after a freeze in which delegations are ignored: they may have waited in the socket.
inline constexpr duration kStaleDatagramTime = std::chrono::seconds(1);
/// Shares are not used before this time after the start: a lender may still use what an earlier
/// incarnation delegated.
inline constexpr duration kShareStartDelay = std::chrono::seconds(3);
/// Shares are not used for the first time until the number of known members has not grown for
/// this time, but for `kLongestShareStart` at most.
inline constexpr duration kMembersSettleTime = std::chrono::seconds(1);
inline constexpr duration kLongestShareStart = std::chrono::seconds(10);
/// Time without a reply after which a request is sent again: a round trip between regions
/// (24 ms) and two ticks at each side.
inline constexpr duration kUsageReplyTimeout = std::chrono::milliseconds(60);

}  // namespace bronzeroute
