#include "src/report/escape_html.h"

namespace bronzeroute {

std::string EscapeHtml(std::string_view text) {
  std::string result;
  for (const char c : text) {
    switch (c) {
      case '&':
        result += "&amp;";
        break;
      case '<':
        result += "&lt;";
        break;
      case '>':
        result += "&gt;";
        break;
      case '"':
        result += "&quot;";
        break;
      case '\'':
        result += "&#39;";
        break;
      default: {
        const auto byte = static_cast<unsigned char>(c);
        result += byte < 0x20 || byte == 0x7f ? '?' : c;
      }
    }
  }
  return result;
}

}  // namespace bronzeroute
