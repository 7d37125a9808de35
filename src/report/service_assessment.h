#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzeroute {

/// How urgently a service needs the attention of the person on call.
struct service_assessment {
  /// In increasing order of urgency.
  enum class severity : std::uint8_t { kIdle, kOk, kWatch, kPage };

  severity level = severity::kIdle;
  /// The reason for the level, as one sentence.
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
