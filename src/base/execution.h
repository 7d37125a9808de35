#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// Whether a request ran at an upstream, as far as the daemon can determine.
enum class execution : std::uint8_t { kNotRun, kRan, kUnknown };

/// The value of the `Bronzeroute-Execution` header: "not-run", "ran" or "unknown".
constexpr std::string_view ExecutionName(execution value) {
  switch (value) {
    case execution::kNotRun:
      return "not-run";
    case execution::kRan:
      return "ran";
    case execution::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace bronzeroute
