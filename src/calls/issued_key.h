#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/calls/member_target.h"

namespace bronzeroute {

/// A key issued by the system. It names the process that keeps its row.
struct issued_key {
  member_target home;
  /// Unix time of issue in milliseconds.
  std::int64_t issued_ms = 0;
  std::uint64_t nonce = 0;
};

/// True if `key` has the form of issued keys; callers may not choose such keys themselves.
bool IsIssuedKey(std::string_view key);

/// "br1.<home>.<incarnation>.<issued ms>.<nonce>", numbers in hexadecimal.
std::string FormatIssuedKey(const issued_key& key);

/// Nothing if `key` is not exactly what `FormatIssuedKey` writes.
std::optional<issued_key> ParseIssuedKey(std::string_view key);

}  // namespace bronzeroute
