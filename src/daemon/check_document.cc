#include "src/daemon/check_document.h"

#include <optional>
#include <ostream>

#include "src/base/read_file.h"
#include "src/configuration/document_error.h"
#include "src/configuration/parse_result.h"
#include "src/configuration/substitution.h"

namespace bronzeroute {

document_check CheckDocument(const std::string& file, const document_reader& read,
                             std::ostream& out) {
  const std::optional<std::string> bytes = ReadFile(file);
  if (!bytes) {
    out << "cannot read " << file << "\n";
    return document_check::kUnreadableFile;
  }
  const parse_result result = read(*bytes);
  for (const document_error& error : result.errors) out << DescribeError(error) << "\n";
  if (!result.value) {
    out << file << ": refused; the version before stays in effect\n";
    return document_check::kRefused;
  }
  for (const substitution& made : result.value->listed_substitutions) {
    out << DescribeSubstitution(made) << "\n";
  }
  if (result.value->substitutions > 0) {
    out << file << ": accepted with " << result.value->substitutions << " values replaced\n";
    return document_check::kWithSubstitutes;
  }
  out << file << ": accepted as written\n";
  return document_check::kAsWritten;
}

}  // namespace bronzeroute
