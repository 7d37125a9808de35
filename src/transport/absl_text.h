#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace bronzeroute {

/// Converts `text` for Abseil's string functions. Debian builds Abseil with its own string_view
/// class, to which std::string_view does not convert.
inline absl::string_view AbslText(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace bronzeroute
