#pragma once

#include <cstdint>
#include <optional>

#include "src/routing/load_hint.h"

namespace bronzeroute {

/// What an owner says about itself on a frame.
struct owner_report {
  std::optional<load_hint> hint;
  /// Version of the owner's configuration, -1 if it has none.
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
