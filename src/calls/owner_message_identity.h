#pragma once

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Identity carried by every message from an owner about an attempt.
struct owner_message_identity {
  attempt_id attempt;
  member_id owner;
  incarnation owner_run;
};

}  // namespace bronzeroute
