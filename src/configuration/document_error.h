#pragma once

#include <cstdint>
#include <string>

namespace bronzeroute {

/// One error in a document.
struct document_error {
  std::string file;
  /// Line in `file`, from 1; 0 if the format has no lines.
  std::uint32_t line = 0;
  /// Path of the key, for example "service[1].route[0].prefix"; empty for a syntax error.
  std::string key;
  /// The value found there.
  std::string found;
  /// The values allowed there.
  std::string allowed;

  friend bool operator==(const document_error&, const document_error&) = default;
};

/// The error as "file:line: key: found ...; allowed: ...".
std::string DescribeError(const document_error& error);

}  // namespace bronzeroute
