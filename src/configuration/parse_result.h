#pragma once

#include <optional>
#include <vector>

#include "src/configuration/document.h"
#include "src/configuration/document_error.h"

namespace bronzeroute {

/// Result of parsing a document: either a document, or one or more errors in line order.
struct parse_result {
  std::optional<document> value;
  std::vector<document_error> errors;
};

}  // namespace bronzeroute
