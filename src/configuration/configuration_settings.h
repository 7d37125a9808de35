#pragma once

#include <cstdint>
#include <string>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/configuration_form.h"
#include "src/configuration/document_reader.h"

namespace bronzeroute {

/// What a `configuration_system` is told at the start.
struct configuration_settings {
  /// "trial" or "production".
  std::string environment;
  member_id self;
  /// Seed of the jitter.
  std::uint64_t seed = 0;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// Pause after a read that brought records, so that one read takes several of a quick
  /// succession.
  duration read_pause{};
  /// Time after which a read counts as failed. It covers a result that never comes, so it is
  /// longer than the log client's own timeout.
  duration read_time = std::chrono::seconds(10);
};

}  // namespace bronzeroute
