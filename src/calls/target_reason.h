#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// Why the target of an attempt was chosen.
enum class target_reason : std::uint8_t {
  kOwnUpstreamFree,
  kChosen,
  kKeyHome,
};

/// The name in log lines.
constexpr std::string_view TargetReasonName(target_reason reason) {
  switch (reason) {
    case target_reason::kOwnUpstreamFree:
      return "own";
    case target_reason::kChosen:
      return "chosen";
    case target_reason::kKeyHome:
      break;
  }
  return "key_home";
}

/// "own upstream is free", "chosen by load" or "home of the key".
constexpr std::string_view TargetReasonText(target_reason reason) {
  switch (reason) {
    case target_reason::kOwnUpstreamFree:
      return "own upstream is free";
    case target_reason::kChosen:
      return "chosen by load";
    case target_reason::kKeyHome:
      break;
  }
  return "home of the key";
}

}  // namespace bronzeroute
