#include "src/transport/caller_headers.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <string_view>

#include "src/base/credential_digest.h"
#include "src/calls/caller_request.h"
#include "src/transport/absl_text.h"
#include "src/transport/exchange.h"
#include "src/transport/http_dialect.h"

namespace bronzeroute {
namespace {

// Documents contain no empty key. A repeated key is treated like an empty one, since the
// upstreams and the daemon could otherwise take different fields for the key.
constexpr std::string_view kHeldByNoAccount;

// Accepts digits only: signs, blanks and lists made from repeated fields are malformed.
bool ParseNumber(std::string_view text, std::uint64_t min, std::uint64_t max,
                 std::uint64_t& value) {
  const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
    return letter >= '0' && letter <= '9';
  });
  return digits && absl::SimpleAtoi(AbslText(text), &value) && value >= min && value <= max;
}

// True for printable ASCII without blanks, so that a key can be logged and used in an id.
bool IsKey(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
    return letter > ' ' && letter < '\x7f';
  });
}

bool Is(std::string_view name, std::string_view known) {
  return !known.empty() && absl::EqualsIgnoreCase(AbslText(name), AbslText(known));
}

/// Parses the fields that this project defines for callers.
error_kind ParseOwnField(std::string_view name, const std::string& value,
                         caller_request& request) {
  constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
  std::uint64_t number = 0;
  if (Is(name, "Bronzeroute-Try")) {
    if (!ParseNumber(value, 1, kMaxCount, number)) return error_kind::kBadHeader;
    request.caller_try = static_cast<std::uint32_t>(number);
  } else if (Is(name, "Bronzeroute-Depth")) {
    if (!ParseNumber(value, 0, kMaxCount, number)) return error_kind::kBadHeader;
    request.depth = static_cast<std::uint32_t>(number);
  } else if (Is(name, "Idempotency-Key")) {
    if (value.size() > kMaxKeyBytes) return error_kind::kFieldTooLarge;
    if (!IsKey(value)) return error_kind::kBadHeader;
    request.key = value;
  }
  return error_kind::kNone;
}

}  // namespace

error_kind ParseCallerHeaders(const exchange& from, const http_dialect& dialect, time_point now,
                              caller_request& request) {
  request.exchange = from.id;
  request.method = from.method;
  request.path = from.path;
  request.host = from.host;
  request.content_length = from.content_length;
  std::size_t head_bytes = from.path.size() + from.method.size();
  if (from.path.size() > kMaxPathBytes) return error_kind::kFieldTooLarge;
  for (const auto& [name, value] : from.headers) {
    head_bytes += name.size() + value.size();
    if (name.size() + value.size() > kMaxFieldBytes || head_bytes > kMaxHeadBytes) {
      return error_kind::kFieldTooLarge;
    }
  }
  for (const auto& [name, value] : from.headers) {
    std::uint64_t number = 0;
    if (Is(name, dialect.deadline)) {
      if (!ParseNumber(value, 0, kMaxDeadlineMs, number)) return error_kind::kBadHeader;
      request.deadline = now + std::chrono::milliseconds(number);
    } else if (Is(name, dialect.request_id)) {
      request.request_id = value;
    } else if (Is(name, dialect.credential)) {
      request.credential = DigestCredential(request.credential ? kHeldByNoAccount : value);
    } else if (Is(name, "Content-Length")) {
      if (!ParseNumber(value, 0, std::numeric_limits<std::uint64_t>::max(), number)) {
        return error_kind::kBadHeader;
      }
    } else if (dialect.has_own_fields) {
      const error_kind kind = ParseOwnField(name, value, request);
      if (kind != error_kind::kNone) return kind;
    }
  }
  return error_kind::kNone;
}

}  // namespace bronzeroute
