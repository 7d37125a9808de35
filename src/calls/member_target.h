#pragma once

#include "src/base/strong_id.h"

namespace bronzeroute {

/// Target of an attempt: one incarnation of a member.
struct member_target {
  member_id id;
  incarnation_id incarnation;
};

}  // namespace bronzeroute
