#pragma once

#include <cstdint>
#include <optional>

#include "src/base/strong_id.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {

/// State that an owner reports about itself on each frame.
struct owner_report {
  /// The owner and its incarnation: the one that the attempt was sent to, checked on every
  /// frame. In the refusal of an attempt that names an earlier incarnation, the one that
  /// refuses.
  member_id owner;
  incarnation_id owner_incarnation;
  std::optional<load_hint> hint;
  /// Version of the owner's configuration, -1 if it has none.
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
