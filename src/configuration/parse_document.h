#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/configuration/parse_result.h"

namespace bronzeroute {

/// Format of documents that this build reads. Raise it whenever a change of the parser would
/// accept, refuse or read any document differently: all daemons must agree on every record.
constexpr std::uint32_t kDocumentFormat = 1;

/// Largest document in bytes.
constexpr std::size_t kMaxDocumentBytes = std::size_t{256} * 1024;

/// Reads the TOML `text` of a document. Reports every fault at once, except that nothing after
/// a syntax error is read; `file` is only named in the errors. A document with a fault has no
/// effect at all.
parse_result ParseDocument(std::string_view text, std::string_view file);

}  // namespace bronzeroute
