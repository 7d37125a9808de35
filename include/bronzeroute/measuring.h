#pragma once

#include "src/measuring/budget_account.h"   // IWYU pragma: export
#include "src/measuring/exposition.h"       // IWYU pragma: export
#include "src/measuring/service_metrics.h"  // IWYU pragma: export
