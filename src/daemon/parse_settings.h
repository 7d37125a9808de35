#pragma once

#include <string_view>

#include "src/daemon/settings_result.h"

namespace bronzeroute {

/// Reads the TOML `text` of a daemon's settings and reports every fault at once; `file` is only
/// named in the errors.
settings_result ParseSettings(std::string_view text, std::string_view file);

}  // namespace bronzeroute
