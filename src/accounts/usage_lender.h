#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/accounts/usage_cap.h"
#include "src/accounts/usage_group.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Lends the tokens of accounts out of the shares that members delegate to this daemon. Each
/// pool gains tokens only for the time in which a share was delegated, so that all lenders
/// together lend no more than the caps, whichever members they see.
class usage_lender {
 public:
  struct grant {
    std::uint32_t tokens = 0;
    /// Time until tokens may be available, if there are none.
    duration wait{};
  };

  /// Replaces the caps. A pool above its new depth loses the excess.
  void SetCaps(std::span<const usage_cap> caps, time_point now);
  /// `from` delegates its share, one of `members`, of the groups whose bit is set.
  void OnDelegation(member_id from, std::uint32_t groups, std::uint32_t members,
                    time_point now);
  /// Takes up to `wanted` tokens of `account` for `borrower`, or one more if there are plenty.
  grant Take(std::string_view account, std::uint32_t wanted, member_id borrower,
             time_point now);
  /// Drops all delegations and tokens.
  void Clear();

  /// Number of valid delegations of `group`.
  std::size_t Delegations(std::uint32_t group, time_point now) const;

 private:
  struct delegation {
    member_id from;
    std::uint32_t members = 1;
    /// The share is in use in this span.
    time_point since;
    time_point until;
  };
  struct pool {
    usage_cap cap;
    std::uint32_t group = 0;
    double level = 0;
    /// Sums over the valid delegations.
    double rate = 0;
    double depth = 0;
    time_point advanced_at;
    /// Members that were denied tokens, and when.
    absl::flat_hash_map<member_id, time_point> denied;
  };

  void Advance(pool& row, time_point now) const;
  void AdvanceGroup(std::uint32_t group, time_point now);
  /// Expected time until `borrower` can have a token, if the members denied recently share the
  /// rate.
  static duration WaitOf(pool& row, member_id borrower, time_point now);

  std::array<std::vector<delegation>, kUsageGroups> delegations_;
  std::map<std::string, pool, std::less<>> pools_;
};

}  // namespace bronzeroute
