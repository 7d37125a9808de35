#pragma once

#include <string_view>

namespace bronzeroute {

struct daemon_parts;

/// The main function of a daemon built from `parts`: reads the command line and the settings,
/// runs the daemon until SIGTERM or SIGINT, and returns the exit code. `program` is the name
/// used in messages.
int RunDaemon(int argc, char** argv, std::string_view program, const daemon_parts& parts);

}  // namespace bronzeroute
