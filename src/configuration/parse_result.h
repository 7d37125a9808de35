#pragma once

#include <optional>
#include <vector>

#include "src/configuration/document.h"
#include "src/configuration/document_error.h"

namespace bronzeroute {

/// Outcome of `ParseDocument`: a document, or at least one error in order of lines.
struct parse_result {
  std::optional<document> value;
  std::vector<document_error> errors;
};

}  // namespace bronzeroute
