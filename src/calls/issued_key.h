#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/calls/member_target.h"

namespace bronzeroute {

/// An idempotency key issued by a daemon. It contains the home of the key: the daemon
/// incarnation that keeps the state of its tries.
struct issued_key {
  member_target home;
  /// Unix time of issue in milliseconds.
  std::int64_t issued_ms = 0;
  std::uint64_t nonce = 0;
};

/// True if `key` has the prefix of issued keys; callers may not use it in their own keys.
bool IsIssuedKey(std::string_view key);

/// "br1.<home>.<incarnation>.<issued ms>.<nonce>", numbers in hexadecimal.
std::string FormatIssuedKey(const issued_key& key);

/// Nothing unless `key` is exactly a result of `FormatIssuedKey`.
std::optional<issued_key> ParseIssuedKey(std::string_view key);

}  // namespace bronzeroute
