#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace bronzeroute {

/// `text` as an argument of absl's string functions. Debian builds absl with a string_view type
/// of its own.
inline absl::string_view AbslText(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace bronzeroute
