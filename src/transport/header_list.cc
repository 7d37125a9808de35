#include "src/transport/header_list.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

#include "src/transport/absl_text.h"
#include "src/transport/http_dialect.h"

namespace bronzeroute {
namespace {

template <std::size_t N>
bool Contains(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view known) {
    return absl::EqualsIgnoreCase(AbslText(known), AbslText(name));
  });
}

bool IsNeededByEveryHop(absl::string_view name, const http_dialect& dialect) {
  return absl::EqualsIgnoreCase(name, "Host") ||
         absl::EqualsIgnoreCase(name, "Content-Length") ||
         dialect.IsField({name.data(), name.size()});
}

}  // namespace

bool IsHopByHop(std::string_view name) {
  // Expect is included because the HTTP client treats an interim response as the final one.
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",          "Expect", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate",
      "Proxy-Authorization", "TE",     "Trailer",    "Transfer-Encoding", "Upgrade"};
  return Contains(kNames, name);
}

header_list EndToEndFields(const header_list& from, const http_dialect& dialect) {
  std::vector<std::string> named;
  for (const auto& [name, value] : from) {
    if (!absl::EqualsIgnoreCase(name, "Connection")) continue;
    for (const absl::string_view part : absl::StrSplit(value, ',')) {
      const absl::string_view option = absl::StripAsciiWhitespace(part);
      if (!IsNeededByEveryHop(option, dialect)) named.emplace_back(option);
    }
  }
  header_list result;
  for (const auto& field : from) {
    const bool is_named = std::any_of(named.begin(), named.end(), [&](const std::string& name) {
      return absl::EqualsIgnoreCase(name, field.first);
    });
    if (!is_named && !IsHopByHop(field.first)) result.push_back(field);
  }
  return result;
}

const std::string* FindField(const header_list& from, std::string_view name) {
  const auto found = std::ranges::find_if(from, [name](const auto& field) {
    return absl::EqualsIgnoreCase(field.first, AbslText(name));
  });
  return found == from.end() ? nullptr : &found->second;
}

}  // namespace bronzeroute
