#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/configuration/parse_result.h"

namespace bronzeroute {

/// Format of the documents that this build can read. It must be increased with every change of
/// the parser that accepts, refuses or interprets any document differently, because all daemons
/// have to come to the same outcome for every record.
constexpr std::uint32_t kDocumentFormat = 1;

/// Largest document in bytes.
constexpr std::size_t kMaxDocumentBytes = std::size_t{256} * 1024;

/// Parses the TOML `text` of a document. Reports all errors at once, except that nothing is
/// read after a syntax error. `file` is only used in the error messages. A document with any
/// error is rejected as a whole.
parse_result ParseDocument(std::string_view text, std::string_view file);

}  // namespace bronzeroute
