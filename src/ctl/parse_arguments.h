#pragma once

#include <variant>

#include "src/ctl/arguments.h"
#include "src/ctl/exit_code.h"

namespace bronzeroute {

/// Parses the command line. Returns an exit code instead of arguments if no command is to be
/// run: after --help or --version, or after an error message about wrong usage.
std::variant<arguments, exit_code> ParseArguments(int argc, const char* const* argv);

}  // namespace bronzeroute
