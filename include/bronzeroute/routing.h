#pragma once

#include "src/routing/hint_rate_limiter.h"      // IWYU pragma: export
#include "src/routing/policy_least_reported.h"  // IWYU pragma: export
#include "src/routing/policy_random.h"          // IWYU pragma: export
#include "src/routing/policy_round_robin.h"     // IWYU pragma: export
#include "src/routing/policy_two_choices.h"     // IWYU pragma: export
#include "src/routing/routing_system.h"         // IWYU pragma: export
