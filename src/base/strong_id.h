#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace bronzeroute {

/// A 64-bit identifier that does not convert to identifiers of another kind.
template <typename Tag>
struct strong_id {
  std::uint64_t value = 0;

  // The linter takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const strong_id&, const strong_id&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const strong_id& id) {
    return H::combine(std::move(hash), id.value);
  }
};

/// A daemon with its upstream; xxhash64 of the daemon's peer address "ip:port".
using member_id = strong_id<struct member_id_tag>;
/// One run of a daemon process: its start in Unix milliseconds, raised above any number seen.
using incarnation_id = strong_id<struct incarnation_tag>;
/// A request and its answer as held by the transport of one process; never sent.
using exchange_id = strong_id<struct exchange_tag>;

}  // namespace bronzeroute
