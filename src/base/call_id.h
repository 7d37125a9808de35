#pragma once

#include <compare>
#include <cstdint>
#include <utility>

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Identity of a call, unique across processes and restarts.
struct call_id {
  member_id entry;
  incarnation_id entry_incarnation;
  std::uint64_t sequence = 0;

  // The linter takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const call_id&, const call_id&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const call_id& id) {
    return H::combine(std::move(hash), id.entry, id.entry_incarnation, id.sequence);
  }
};

}  // namespace bronzeroute
