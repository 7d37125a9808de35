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

/// Settings of a `node_runtime`, other than its own addresses.
struct runtime_settings {
  /// "trial" or "production".
  std::string environment;
  /// Membership addresses of other daemons, contacted while the log is unavailable.
  std::vector<std::string> seeds;
  /// Seed of all random choices.
  std::uint64_t seed = 0;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// Pause after a configuration read that returned records.
  duration configuration_read_pause{};
  /// Longest time that a read of the log may take, including its wait for new records.
  duration log_read_time = std::chrono::seconds(10);
  /// Each member appends its record at a random time within this span after its start.
  duration join_spread = std::chrono::seconds(5);
  /// Pause between reads of the members' records once the process has settled.
  duration member_read_pause = std::chrono::seconds(1);
  /// Largest share of an upstream's slots that admission uses.
  double slot_share = 1;
  transfer_cost costs{};
  /// Error responses of an upstream count as its failures. Set to false where upstreams call
  /// each other: one failing upstream then makes all its callers return errors too.
  bool eject_on_error_answers = true;
  retry_shares retries{};
  /// A stopping process accepts requests of callers for at least this long.
  duration stop_linger = std::chrono::seconds(1);
};

}  // namespace bronzeroute
