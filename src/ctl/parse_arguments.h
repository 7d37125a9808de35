#pragma once

#include <variant>

#include "src/ctl/arguments.h"
#include "src/ctl/exit_code.h"

namespace bronzeroute {

/// Reads the command line. Gives the exit code instead if there is nothing left to do: after
/// --help or --version, or after a message about wrong usage.
std::variant<arguments, exit_code> ParseArguments(int argc, const char* const* argv);

}  // namespace bronzeroute
