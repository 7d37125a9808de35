#pragma once

#include <functional>
#include <string_view>

#include "src/configuration/parse_result.h"

namespace bronzeroute {

/// Parses the bytes of a document.
using document_reader = std::function<parse_result(std::string_view bytes)>;

/// The `document_reader` for the TOML format of `ParseDocument`.
parse_result ReadTomlDocument(std::string_view bytes);

}  // namespace bronzeroute
