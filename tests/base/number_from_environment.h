#pragma once

#include <cstdint>
#include <cstdlib>

namespace bronzeroute::tests {

/// Value of a numeric environment variable, or `otherwise` if it is not set.
inline std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace bronzeroute::tests
