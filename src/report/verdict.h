#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzeroute {

/// What a person on call should do about a service, worst last.
struct verdict {
  enum class severity : std::uint8_t { kIdle, kOk, kWatch, kPage };

  severity level = severity::kIdle;
  /// One sentence.
  std::string sentence;
};

constexpr std::string_view SeverityName(verdict::severity level) {
  switch (level) {
    case verdict::severity::kIdle:
      return "idle";
    case verdict::severity::kOk:
      return "ok";
    case verdict::severity::kWatch:
      return "watch";
    case verdict::severity::kPage:
      break;
  }
  return "page";
}

}  // namespace bronzeroute
