#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/calls/retry_shares.h"
#include "src/configuration/configuration_form.h"
#include "src/configuration/document_reader.h"
#include "src/routing/transfer_cost.h"

namespace bronzeroute {

/// What a `node_runtime` is told at the start besides its own addresses.
struct runtime_settings {
  /// "trial" or "production".
  std::string environment;
  /// Membership addresses of other daemons, asked while the log is unavailable.
  std::vector<std::string> seeds;
  /// Seed of all random choices.
  std::uint64_t seed = 0;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// Pause after a read of the configuration that brought records.
  duration configuration_read_pause{};
  /// Longest time that a read of the log may take, its wait included.
  duration log_read_time = std::chrono::seconds(10);
  /// Members announce themselves within this time of their start, spread evenly.
  duration join_spread = std::chrono::seconds(5);
  /// Pause between reads of the members' records once the process has settled.
  duration member_read_pause = std::chrono::seconds(1);
  /// Share of an upstream's slots that is filled.
  double slot_share = 1;
  transfer_cost costs{};
  /// Errors that an upstream answers itself count as its failures. Where upstreams call each
  /// other, one that fails makes all its callers answer errors too.
  bool eject_on_error_answers = true;
  retry_shares retries{};
  /// A process that stops takes requests of callers for at least this long.
  duration stop_linger = std::chrono::seconds(1);
};

}  // namespace bronzeroute
