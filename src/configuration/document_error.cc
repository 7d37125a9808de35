#include "src/configuration/document_error.h"

#include "src/base/concat.h"

namespace bronzeroute {

std::string DescribeError(const document_error& error) {
  const std::string line = error.line == 0 ? "" : Concat(":", error.line);
  return Concat(error.file, line, ": ", error.key, error.key.empty() ? "" : ": ", "found ",
                error.found, "; allowed: ", error.allowed);
}

}  // namespace bronzeroute
