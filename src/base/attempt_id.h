#pragma once

#include <compare>
#include <cstdint>
#include <utility>

#include "src/base/call_id.h"

namespace bronzeroute {

/// Identity of one attempt: one forwarding of a call to one owner, the daemon beside the chosen
/// upstream. Carried on every message about the attempt.
struct attempt_id {
  call_id call;
  std::uint32_t number = 0;

  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const attempt_id& id) {
    return H::combine(std::move(hash), id.call, id.number);
  }
};

}  // namespace bronzeroute
