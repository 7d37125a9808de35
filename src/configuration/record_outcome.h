#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// What the fold made of one record of a configuration stream.
enum class verdict : std::uint8_t {
  kAccepted,
  /// The base is not the version in force at that offset: another publication came first.
  kStaleBase,
  kBadDigest,
  kInvalidDocument,
  /// Accepted, but this build cannot read the document; it stays at the version before.
  kUnsupportedFormat,
  /// A repeated append of a publication that was accepted before.
  kDuplicate,
  /// A snapshot; it changes nothing for a reader that has the records before it.
  kSnapshot,
  /// Not a configuration record.
  kUnreadable,
};

/// The name in messages, for example "stale_base".
constexpr std::string_view VerdictName(verdict value) {
  switch (value) {
    case verdict::kAccepted:
      return "accepted";
    case verdict::kStaleBase:
      return "stale_base";
    case verdict::kBadDigest:
      return "bad_digest";
    case verdict::kInvalidDocument:
      return "invalid_document";
    case verdict::kUnsupportedFormat:
      return "unsupported_format";
    case verdict::kDuplicate:
      return "duplicate";
    case verdict::kSnapshot:
      return "snapshot";
    case verdict::kUnreadable:
      break;
  }
  return "unreadable";
}

}  // namespace bronzeroute
