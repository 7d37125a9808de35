#pragma once

#include <optional>
#include <vector>

#include "src/configuration/document_error.h"
#include "src/daemon/settings.h"

namespace bronzeroute {

/// Outcome of `ParseSettings`: settings, or at least one error, ordered by line.
struct settings_result {
  std::optional<settings> value;
  std::vector<document_error> errors;
};

}  // namespace bronzeroute
