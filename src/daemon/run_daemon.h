#pragma once

#include <string_view>

namespace bronzeroute {

struct daemon_parts;

/// The main function of a daemon built from `parts`: reads the command line and the settings,
/// serves until it is told to stop, and returns the exit code. `program` is the name in
/// messages.
int RunDaemon(int argc, char** argv, std::string_view program, const daemon_parts& parts);

}  // namespace bronzeroute
