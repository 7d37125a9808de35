#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/configuration_fold.h"
#include "src/configuration/folded_record.h"

namespace bronzeroute {

/// The state of a configuration stream after the records read so far.
struct stream_state {
  explicit stream_state(std::string name) : environment(name), fold(std::move(name)) {}

  /// The first record of a publication with its outcome, or null.
  const folded_record* Find(std::string_view publication_id) const;

  /// "trial" or "production".
  std::string environment;
  configuration_fold fold;
  /// In offset order.
  std::vector<folded_record> folded_records;
};

}  // namespace bronzeroute
