#pragma once

#include "src/calls/call_history.h"  // IWYU pragma: export
#include "src/calls/entry_system.h"  // IWYU pragma: export
#include "src/calls/issued_key.h"    // IWYU pragma: export
#include "src/calls/key_table.h"     // IWYU pragma: export
#include "src/calls/owner_system.h"  // IWYU pragma: export
#include "src/calls/retry_budget.h"  // IWYU pragma: export
