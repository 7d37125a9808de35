#pragma once

#include <string_view>

#include "src/daemon/settings_result.h"

namespace bronzeroute {

/// Parses the TOML `text` of a daemon's settings and returns all errors, not only the first.
/// `file` is used only in error messages.
settings_result ParseSettings(std::string_view text, std::string_view file);

}  // namespace bronzeroute
