#pragma once

#include <string_view>

namespace bronzeroute {

/// Sends log lines of `level` ("debug", "info", "warn" or "error") and above to standard error.
void StartLogging(std::string_view level);

/// Writes one line. It begins with the fixed prefix of its part: "config:", "member:", "call:",
/// "peer:", "admit:" or "daemon:".
void LogInfo(std::string_view line);
void LogWarning(std::string_view line);
void LogError(std::string_view line);

}  // namespace bronzeroute
