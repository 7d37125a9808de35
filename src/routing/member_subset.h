#pragma once

#include <cstddef>
#include <vector>

#include "src/base/strong_id.h"
#include "src/routing/distance.h"

namespace bronzeroute {

/// A member of one service at one distance, from which `SelectSubset` chooses.
struct subset_member {
  member_id id;
  /// Position in the caller's own list.
  std::size_t index = 0;
  /// It takes no new work now.
  bool draining = false;
};

/// Largest number of members of one service at the distance that an entry prefers.
std::size_t SubsetLimit(distance where);

/// Reduces `group` to at most `limit` members by rendezvous hashing: each entry gets a subset
/// of its own, all members are in about as many subsets, and a member that comes or goes
/// changes at most one place of a subset. Draining members are the last to be chosen.
void SelectSubset(member_id entry, std::size_t limit, std::vector<subset_member>& group);

}  // namespace bronzeroute
