#pragma once

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Identity in every message that an owner sends to the entry about an attempt.
struct answer_identity {
  attempt_id attempt;
  member_id owner;
  incarnation owner_run;
};

}  // namespace bronzeroute
