#pragma once

#include <optional>
#include <string>

namespace bronzeroute {

/// The bytes of a file; nullopt if it cannot be read, for example because it is a folder.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace bronzeroute
