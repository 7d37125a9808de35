#include "src/configuration/document_error.h"

#include "src/base/concat.h"

namespace bronzeroute {

std::string DescribeError(const document_error& error) {
  return Concat(error.file, ":", error.line, ": ", error.key, error.key.empty() ? "" : ": ",
                "found ", error.found, "; allowed: ", error.allowed);
}

}  // namespace bronzeroute
