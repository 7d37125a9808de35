#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/configuration/document_error.h"
#include "src/configuration/record_outcome.h"

namespace bronzeroute {

/// One folded record.
struct folded_record {
  std::int64_t offset = 0;
  record_outcome outcome = record_outcome::kUnreadable;
  /// Empty for records that are not publications.
  std::string publication_id;
  std::int64_t base_version = -1;
  /// Version in force before the record.
  std::int64_t version_before = -1;
  std::optional<std::int64_t> trial_version;
  /// Faults of an invalid document.
  std::vector<document_error> errors;
};

}  // namespace bronzeroute
