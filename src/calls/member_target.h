#pragma once

#include "src/base/strong_id.h"

namespace bronzeroute {

/// One run of a member, as an attempt addresses it.
struct member_target {
  member_id id;
  incarnation_id incarnation;
};

}  // namespace bronzeroute
