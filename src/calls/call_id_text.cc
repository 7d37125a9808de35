#include "src/calls/call_id_text.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

#include "absl/strings/str_format.h"

namespace bronzeroute {

std::string FormatCallId(const call_id& id) {
  return absl::StrFormat("%016x-%x-%x", id.entry.value, id.entry_incarnation.value,
                         id.sequence);
}

std::optional<call_id> ParseCallId(std::string_view text) {
  std::array<std::uint64_t, 3> fields{};
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), fields[i], 16);
    if (error != std::errc{}) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    const bool is_last = i + 1 == fields.size();
    if (is_last ? !text.empty() : !text.starts_with('-')) return std::nullopt;
    if (!is_last) text.remove_prefix(1);
  }
  return call_id{member_id{fields[0]}, incarnation_id{fields[1]}, fields[2]};
}

}  // namespace bronzeroute
