#include "src/logging/log_line.h"

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

// Longer values are truncated; only values received from outside reach this length.
constexpr std::size_t kMaxValueBytes = 256;

bool IsPlain(char character) {
  return character > ' ' && character < '\x7f' && character != '"' && character != '\\' &&
         character != '=';
}

}  // namespace

log_line& log_line::Add(std::string_view key, std::string_view value) {
  text_ += Concat(" ", key, "=");
  value = value.substr(0, kMaxValueBytes);
  bool is_plain = !value.empty();
  for (const char character : value) is_plain = is_plain && IsPlain(character);
  if (is_plain) {
    text_ += value;
    return *this;
  }
  text_ += '"';
  for (const char character : value) {
    if (character == '"' || character == '\\') text_ += '\\';
    // Control characters are replaced, since a line feed would let a value forge a log line.
    text_ += character >= ' ' && character != '\x7f' ? character : '?';
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
