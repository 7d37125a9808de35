#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// What folding decided on one record of a configuration stream.
enum class record_outcome : std::uint8_t {
  kAccepted,
  /// The base is not the version accepted before that offset: another publication came first.
  kStaleBase,
  kBadDigest,
  kInvalidDocument,
  /// Accepted, but this build cannot read the document; the previous one stays in effect here.
  kUnsupportedFormat,
  /// A repeated append of a publication that was accepted before.
  kDuplicate,
  /// A snapshot. It has no effect on a reader that has folded all earlier records.
  kSnapshot,
  /// Not a configuration record.
  kUnreadable,
};

/// Name in log lines and in the output of brctl, for example "stale_base".
constexpr std::string_view RecordOutcomeName(record_outcome value) {
  switch (value) {
    case record_outcome::kAccepted:
      return "accepted";
    case record_outcome::kStaleBase:
      return "stale_base";
    case record_outcome::kBadDigest:
      return "bad_digest";
    case record_outcome::kInvalidDocument:
      return "invalid_document";
    case record_outcome::kUnsupportedFormat:
      return "unsupported_format";
    case record_outcome::kDuplicate:
      return "duplicate";
    case record_outcome::kSnapshot:
      return "snapshot";
    case record_outcome::kUnreadable:
      break;
  }
  return "unreadable";
}

}  // namespace bronzeroute
