#pragma once

#include <array>
#include <string_view>

#include "src/measuring/request_result.h"

namespace bronzeroute {

/// The results that use up the error budget, in the order in which reports show them.
inline constexpr std::array<request_result, 4> kBadResults = {
    request_result::kRefused, request_result::kUnknown, request_result::kServedLate,
    request_result::kFailed};

/// The word for a bad result in reports.
constexpr std::string_view BadResultWord(request_result result) {
  switch (result) {
    case request_result::kRefused:
      return "refused";
    case request_result::kUnknown:
      return "unknown";
    case request_result::kServedLate:
      return "late";
    case request_result::kServedInTime:
    case request_result::kFailed:
      break;
  }
  return "failed";
}

}  // namespace bronzeroute
