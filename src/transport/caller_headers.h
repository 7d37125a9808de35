#pragma once

#include <cstddef>
#include <cstdint>

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

struct caller_request;
struct exchange;
struct http_dialect;

/// Limits of a caller's request. A request above one of them is rejected with
/// `field_too_large`.
inline constexpr std::size_t kMaxPathBytes = 8192;
inline constexpr std::size_t kMaxFieldBytes = 8192;
inline constexpr std::size_t kMaxHeadBytes = 32768;
inline constexpr std::size_t kMaxKeyBytes = 256;
/// Longest deadline that a caller may request: one day.
inline constexpr std::uint64_t kMaxDeadlineMs = 86'400'000;

/// Fills `request` from the head of `from`. Returns kNone, kBadHeader or kFieldTooLarge.
error_kind ParseCallerHeaders(const exchange& from, const http_dialect& dialect, time_point now,
                              caller_request& request);

}  // namespace bronzeroute
