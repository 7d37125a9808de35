#pragma once

#include "src/base/error_kind.h"

namespace bronzeroute {

/// Whether a try with a key may run.
struct key_decision {
  /// kNone if it may run, else the reason of the refusal.
  error_kind kind = error_kind::kNone;
  /// HTTP status of the earlier execution, 0 if there is none.
  int recorded_status = 0;
};

}  // namespace bronzeroute
