#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

namespace bronzeroute {

/// Digest of an account's key. The key itself is neither logged nor kept beside its digest.
struct credential_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const credential_digest&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const credential_digest& digest) {
    return H::combine(std::move(state), digest.high, digest.low);
  }
};

/// 128-bit xxhash of `key`. It is not a cryptographic hash: it keeps keys out of logs and
/// dumps, and does not protect them from whoever can read the memory of the process.
credential_digest DigestCredential(std::string_view key);

}  // namespace bronzeroute
