#pragma once

#include <string>

#include "src/configuration/document.h"

namespace bronzeroute {

/// Describes what the system guarantees under `configuration`, for readers without further
/// documents: for each service, every guarantee with its cost, the mechanism that provides it,
/// the tests that verify it, and its limits. Plain text, at most 96 columns except for long
/// names.
std::string GuaranteesText(const document& configuration);

}  // namespace bronzeroute
