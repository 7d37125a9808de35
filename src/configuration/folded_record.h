#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/configuration/document_error.h"
#include "src/configuration/record_outcome.h"

namespace bronzeroute {

/// A record that a `configuration_fold` has processed, with its outcome.
struct folded_record {
  std::int64_t offset = 0;
  record_outcome outcome = record_outcome::kUnreadable;
  /// Empty for records that are not publications.
  std::string publication_id;
  std::int64_t base_version = -1;
  /// Accepted version before the record.
  std::int64_t version_before = -1;
  /// Version of the trial environment that a publication to production promotes.
  std::optional<std::int64_t> trial_version;
  /// True if the record came as soon as a waiting read was renewed, which the read before had
  /// not delivered.
  bool was_missed = false;
  /// Errors in the document if the outcome is `kInvalidDocument`.
  std::vector<document_error> errors;
};

}  // namespace bronzeroute
