#include "src/transport/call_id_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/transport/absl_text.h"

namespace bronzeroute {

std::string FormatCallId(const call_id& id) {
  return absl::StrCat(absl::Hex(id.entry.value, absl::kZeroPad16), "-",
                      absl::Hex(id.entry_incarnation.value), "-", absl::Hex(id.sequence));
}

std::optional<call_id> ParseCallId(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(AbslText(text), '-');
  call_id id;
  if (parts.size() != 3 || !absl::SimpleHexAtoi(parts[0], &id.entry.value) ||
      !absl::SimpleHexAtoi(parts[1], &id.entry_incarnation.value) ||
      !absl::SimpleHexAtoi(parts[2], &id.sequence)) {
    return std::nullopt;
  }
  return id;
}

}  // namespace bronzeroute
