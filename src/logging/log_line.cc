#include "src/logging/log_line.h"

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

// Longer values, which come from outside, are cut.
constexpr std::size_t kMaxValueBytes = 256;

bool IsPlain(char letter) {
  return letter > ' ' && letter < '\x7f' && letter != '"' && letter != '\\' && letter != '=';
}

}  // namespace

log_line& log_line::Add(std::string_view key, std::string_view value) {
  text_ += Concat(" ", key, "=");
  value = value.substr(0, kMaxValueBytes);
  bool is_plain = !value.empty();
  for (const char letter : value) is_plain = is_plain && IsPlain(letter);
  if (is_plain) {
    text_ += value;
    return *this;
  }
  text_ += '"';
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') text_ += '\\';
    // Control characters would let a value pretend to be another line.
    text_ += letter >= ' ' && letter != '\x7f' ? letter : '?';
  }
  text_ += '"';
  return *this;
}

log_line& log_line::Add(std::string_view key, duration value) {
  text_ += absl::StrFormat(" %s=%.1f", std::string(key),
                           std::chrono::duration<double, std::milli>(value).count());
  return *this;
}

}  // namespace bronzeroute
