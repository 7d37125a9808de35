#include "src/base/credential_digest.h"

#include <xxhash.h>

namespace bronzeroute {

credential_digest DigestCredential(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {.high = hash.high64, .low = hash.low64};
}

}  // namespace bronzeroute
