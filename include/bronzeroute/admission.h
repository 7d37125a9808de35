#pragma once

#include "src/admission/admission_system.h"  // IWYU pragma: export
#include "src/admission/queue_listener.h"    // IWYU pragma: export
