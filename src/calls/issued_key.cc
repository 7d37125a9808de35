#include "src/calls/issued_key.h"

#include <array>
#include <charconv>
#include <cstddef>

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

constexpr std::string_view kPrefix = "br1.";

}  // namespace

bool IsIssuedKey(std::string_view key) { return key.starts_with(kPrefix); }

std::string FormatIssuedKey(const issued_key& key) {
  return absl::StrFormat("br1.%016x.%x.%x.%016x", key.home.id.value, key.home.incarnation.value,
                         static_cast<std::uint64_t>(key.issued_ms), key.nonce);
}

std::optional<issued_key> ParseIssuedKey(std::string_view key) {
  if (!IsIssuedKey(key)) return std::nullopt;
  std::string_view rest = key.substr(kPrefix.size());
  std::array<std::uint64_t, 4> fields{};
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const char* end = rest.data() + rest.size();
    const auto [stop, error] = std::from_chars(rest.data(), end, fields[i], 16);
    if (error != std::errc{}) return std::nullopt;
    rest.remove_prefix(static_cast<std::size_t>(stop - rest.data()));
    if (i + 1 < fields.size()) {
      if (!rest.starts_with('.')) return std::nullopt;
      rest.remove_prefix(1);
    }
  }
  const issued_key result{.home = {member_id{fields[0]}, incarnation_id{fields[1]}},
                          .issued_ms = static_cast<std::int64_t>(fields[2]),
                          .nonce = fields[3]};
  // Another spelling of the same key would be treated as a different key.
  if (FormatIssuedKey(result) != key) return std::nullopt;
  return result;
}

}  // namespace bronzeroute
