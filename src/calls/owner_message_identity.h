#pragma once

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Identity in every message that an owner sends to the entry about an attempt.
struct owner_message_identity {
  attempt_id attempt;
  member_id owner;
  incarnation_id owner_incarnation;
};

}  // namespace bronzeroute
