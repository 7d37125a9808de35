#pragma once

#include <compare>
#include <cstdint>
#include <utility>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Identity of a call, unique across processes and restarts. `entry` is the daemon that took
/// the caller's request.
struct call_id {
  member_id entry;
  incarnation_id entry_incarnation;
  std::uint64_t sequence = 0;

  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const call_id&, const call_id&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const call_id& id) {
    return H::combine(std::move(hash), id.entry, id.entry_incarnation, id.sequence);
  }
};

}  // namespace bronzeroute
