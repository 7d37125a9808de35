#pragma once

#include <string>
#include <string_view>

namespace bronzeroute {

/// `text` for use in HTML or SVG content and in quoted attributes. Control characters, which
/// HTML does not allow, become "?".
std::string EscapeHtml(std::string_view text);

}  // namespace bronzeroute
