#pragma once

#include "src/membership/membership_event.h"     // IWYU pragma: export
#include "src/membership/membership_settings.h"  // IWYU pragma: export
#include "src/membership/membership_system.h"    // IWYU pragma: export
