#pragma once

#include <iosfwd>
#include <string>

#include "src/configuration/document_reader.h"

namespace bronzeroute {

/// Result of a check of a configuration document, and the exit code of the command.
enum class document_check : int {
  kAsWritten = 0,
  kUnreadableFile = 1,
  /// The document takes effect, but some of its values are replaced.
  kWithSubstitutes = 4,
  kRefused = 5,
};

/// Reads the document in `file` with `read` and writes what is refused or replaced, one value a
/// line, and then the result.
document_check CheckDocument(const std::string& file, const document_reader& read,
                             std::ostream& out);

}  // namespace bronzeroute
