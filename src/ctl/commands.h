#pragma once

#include "src/ctl/arguments.h"
#include "src/ctl/exit_code.h"

namespace bronzeroute {

/// Runs the command of `options`, with results on standard output and errors on standard error.
exit_code RunCommand(const arguments& options);

}  // namespace bronzeroute
