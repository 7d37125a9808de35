#pragma once

#include <string>

#include "src/base/call_id.h"
#include "src/base/error_kind.h"

namespace bronzeroute {

/// The JSON body of an error response. A default-constructed `call` and a `recorded_status` of
/// 0 are omitted.
std::string ErrorBody(error_kind kind, const call_id& call, int recorded_status);

}  // namespace bronzeroute
