#pragma once

#include <cstdint>

namespace bronzeroute {

/// What the records of a configuration stream hold.
enum class configuration_form : std::uint8_t {
  /// Publications and snapshots; the offset of an accepted publication is its version.
  kPublications,
  /// Whole documents that name their versions themselves; the highest one counts.
  kVersionedDocuments,
};

}  // namespace bronzeroute
