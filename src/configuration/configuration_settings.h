#pragma once

#include <cstdint>
#include <string>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/configuration_form.h"
#include "src/configuration/document_reader.h"

namespace bronzeroute {

/// Parameters of a `configuration_system`.
struct configuration_settings {
  /// "trial" or "production".
  std::string environment;
  /// The member that this daemon is.
  member_id self;
  /// Seed of the random numbers for jitter and the choice of peers.
  std::uint64_t seed = 0;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// Pause after a read that returned records, so that records appended in quick succession are
  /// returned by one read.
  duration read_pause{};
  /// Time after which a read without a result counts as failed. It has to be longer than the
  /// timeout of the log client.
  duration read_timeout = std::chrono::seconds(10);
  /// Average time between renewals of waiting reads over all daemons, for versioned documents.
  /// A renewal finds a version that a waiting read on a silent connection does not deliver; the
  /// other daemons then learn of it from messages.
  duration renewal_interval = std::chrono::milliseconds(300);
};

}  // namespace bronzeroute
