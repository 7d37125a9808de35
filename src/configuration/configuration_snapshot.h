#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "src/configuration/document.h"

namespace bronzeroute {

/// The accepted configuration after all records up to one offset of the stream.
struct configuration_snapshot {
  /// Offset of the last record that this state includes; -1 before the first record.
  std::int64_t as_of = -1;
  /// Offset of the accepted publication; -1 if there is none.
  std::int64_t version = -1;
  /// xxhash64 of `bytes`.
  std::uint64_t digest = 0;
  /// Format of the document, see `kDocumentFormat`.
  std::uint32_t format = 0;
  /// The document as published, byte for byte.
  std::string bytes;
  /// The parsed document; null for version -1 or a format that this build cannot read.
  std::shared_ptr<const document> parsed;
};

}  // namespace bronzeroute
