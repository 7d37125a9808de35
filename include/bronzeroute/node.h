#pragma once

#include "src/node/node_runtime.h"      // IWYU pragma: export
#include "src/node/runtime_ports.h"     // IWYU pragma: export
#include "src/node/runtime_settings.h"  // IWYU pragma: export
