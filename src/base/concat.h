#pragma once

#include <string>
#include <string_view>
#include <type_traits>

#include "absl/strings/str_cat.h"

namespace bronzeroute {
namespace internal {

template <typename T>
decltype(auto) ForAbsl(const T& value) {
  if constexpr (std::is_same_v<T, std::string_view>) {
    return absl::string_view(value.data(), value.size());
  } else {
    return (value);
  }
}

}  // namespace internal

/// `absl::StrCat` that also accepts std::string_view. Debian builds Abseil with its own
/// string_view class, to which std::string_view does not convert.
template <typename... Parts>
std::string Concat(const Parts&... parts) {
  return absl::StrCat(internal::ForAbsl(parts)...);
}

}  // namespace bronzeroute
