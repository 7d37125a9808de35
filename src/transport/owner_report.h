#pragma once

#include <cstdint>
#include <optional>

#include "src/base/strong_id.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

/// What an owner says about itself on a frame.
struct owner_report {
  /// The run that the attempt was sent to, checked on every frame; in the refusal of an attempt
  /// that names an earlier run, the run that refuses.
  member_id owner;
  incarnation_id owner_incarnation;
  std::optional<load_hint> hint;
  /// Version of the owner's configuration, -1 if it has none.
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
