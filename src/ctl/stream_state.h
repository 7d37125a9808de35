#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/configuration_fold.h"
#include "src/configuration/folded_record.h"

namespace bronzeroute {

/// A configuration stream as read so far.
struct stream_state {
  explicit stream_state(std::string name) : environment(name), fold(std::move(name)) {}

  /// The verdict on the first record of a publication, or null.
  const folded_record* Find(std::string_view publication_id) const;

  std::string environment;
  configuration_fold fold;
  std::vector<folded_record> folded_records;
};

}  // namespace bronzeroute
