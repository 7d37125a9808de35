#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace bronzeroute {

/// A 64-bit identifier that does not convert to identifiers of another kind.
template <typename Tag>
struct strong_id {
  std::uint64_t value = 0;

  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const strong_id&, const strong_id&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const strong_id& id) {
    return H::combine(std::move(hash), id.value);
  }
};

/// Identifies a daemon and the upstream beside it: xxhash64 of the daemon's peer address
/// "ip:port".
using member_id = strong_id<struct member_id_tag>;
/// One lifetime of a daemon process, from start to exit: the start time in Unix milliseconds,
/// raised above every incarnation of this daemon that peers report.
using incarnation_id = strong_id<struct incarnation_tag>;
/// A request and its response as held by the transport of one process; never sent to another
/// process.
using exchange_id = strong_id<struct exchange_tag>;

}  // namespace bronzeroute
