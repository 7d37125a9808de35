#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// Request class for service-level metrics. Protected long requests count as protected.
enum class request_class : std::uint8_t { kShort = 0, kProtected = 1, kLong = 2 };

inline constexpr std::size_t kRequestClasses = 3;

/// Metric label value for `value`.
constexpr std::string_view RequestClassName(request_class value) {
  switch (value) {
    case request_class::kShort:
      return "short";
    case request_class::kProtected:
      return "protected";
    case request_class::kLong:
      break;
  }
  return "long";
}

}  // namespace bronzeroute
