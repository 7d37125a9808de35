#include "src/transport/response_head.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstddef>

namespace bronzeroute {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersion = "HTTP/1.";
// "HTTP/1.1 200"
constexpr std::size_t kStatusLineSize = 12;
constexpr int kMinStatus = 100;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

bool IsTokenByte(char each) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(each)) ||
         kMarks.find(each) != std::string_view::npos;
}

bool IsTextByte(char each) {
  return each == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(each));
}

bool IsValidStatusLine(std::string_view line) {
  if (line.size() < kStatusLineSize || !line.starts_with(kVersion)) return false;
  const std::string_view digits = line.substr(kStatusLineSize - 3, 3);
  const bool is_number = std::ranges::all_of(
      digits, [](char each) { return absl::ascii_isdigit(static_cast<unsigned char>(each)); });
  if (!is_number || !absl::ascii_isdigit(static_cast<unsigned char>(line[kVersion.size()])) ||
      line[kVersion.size() + 1] != ' ') {
    return false;
  }
  const int status = (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
  const std::string_view reason = line.substr(kStatusLineSize);
  return status >= kMinStatus && status <= kMaxStatus &&
         (reason.empty() || reason.front() == ' ') && std::ranges::all_of(reason, IsTextByte);
}

bool IsValidFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  return colon != std::string_view::npos &&
         IsValidField(line.substr(0, colon), line.substr(colon + 1));
}

/// False if no bytes that follow can make `part` a line.
bool MayBecomeLine(std::string_view part, bool is_first) {
  if (part.ends_with('\r')) part.remove_suffix(1);
  if (!std::ranges::all_of(part, IsTextByte)) return false;
  return !is_first || part.substr(0, kVersion.size()) == kVersion.substr(0, part.size());
}

}  // namespace

bool IsFinalStatus(int status) { return status >= kMinFinalStatus && status <= kMaxStatus; }

bool IsValidField(std::string_view name, std::string_view value) {
  return !name.empty() && std::ranges::all_of(name, IsTokenByte) &&
         std::ranges::all_of(value, IsTextByte);
}

head_state CheckResponseHead(std::string_view received) {
  bool is_first = true;
  for (;;) {
    const std::size_t end = received.find(kLineEnd);
    if (end == std::string_view::npos) {
      return MayBecomeLine(received, is_first) ? head_state::kIncomplete : head_state::kInvalid;
    }
    const std::string_view line = received.substr(0, end);
    if (line.empty()) return is_first ? head_state::kInvalid : head_state::kComplete;
    if (is_first ? !IsValidStatusLine(line) : !IsValidFieldLine(line)) {
      return head_state::kInvalid;
    }
    received.remove_prefix(end + kLineEnd.size());
    is_first = false;
  }
}

}  // namespace bronzeroute
