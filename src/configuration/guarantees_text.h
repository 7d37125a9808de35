#pragma once

#include <string>

#include "src/configuration/document.h"

namespace bronzeroute {

/// What the system guarantees under `configuration`, for a reader who was told nothing: for
/// each service every promise with its cost, the mechanism that keeps it and what is not
/// promised. Plain text, at most 96 columns except for long names.
std::string GuaranteesText(const document& configuration);

}  // namespace bronzeroute
