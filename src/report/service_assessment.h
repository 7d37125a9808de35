#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzeroute {

/// What a person on call should do about a service, worst last.
struct service_assessment {
  enum class severity : std::uint8_t { kIdle, kOk, kWatch, kPage };

  severity level = severity::kIdle;
  /// One sentence.
  std::string sentence;
};

constexpr std::string_view SeverityName(service_assessment::severity level) {
  switch (level) {
    case service_assessment::severity::kIdle:
      return "idle";
    case service_assessment::severity::kOk:
      return "ok";
    case service_assessment::severity::kWatch:
      return "watch";
    case service_assessment::severity::kPage:
      break;
  }
  return "page";
}

}  // namespace bronzeroute
