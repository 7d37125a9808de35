#pragma once

#include <cstdint>

namespace bronzeroute {

/// Type of the records in a configuration stream.
enum class configuration_form : std::uint8_t {
  /// Publications and snapshots; the offset of an accepted publication is its version.
  kPublications,
  /// Whole documents that contain their own version; the highest version takes effect.
  kVersionedDocuments,
};

}  // namespace bronzeroute
