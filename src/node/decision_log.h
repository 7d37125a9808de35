#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

class admission_system;
class log_sink;
struct call_record;
struct configuration_event;
struct document;
struct usage_counters;
struct membership_event;
struct owner_attempt_record;
struct folded_record;

/// Writes a structured log line for each decision on a request, and for each change of
/// membership, configuration or upstream. docs/OPERATIONS.md lists the events and their fields.
class decision_log {
 public:
  /// Without a sink nothing is written.
  explicit decision_log(log_sink* sink) : sink_(sink) {}

  /// A call of a caller ended at this entry.
  void OnCallEnded(const call_record& row);
  /// An attempt ended at the owner, whose admission is in `state`.
  void OnAttemptEnded(const owner_attempt_record& row, const admission_system& state);
  void OnMembership(const membership_event& event);
  void OnConfigurationRecord(const folded_record& record);
  /// `current` is in effect as `version`. Its values that were replaced get a line of their
  /// own.
  /// `after_report` is the time since a peer first reported the version; nullopt if none did.
  void OnConfigurationInEffect(const document& current, std::int64_t version,
                               std::string_view source, std::optional<duration> after_report);
  void OnConfigurationEvent(const configuration_event& event);
  /// The upstream names a limit in requests per second, or no longer names one.
  void OnUpstreamRate(std::string_view identity, std::optional<double> per_second);
  /// The limit of a cold upstream begins with `per_second` starts per second, or ends (0).
  /// `held` counts the work that it has held back since the start of the process.
  void OnColdLimit(std::string_view identity, double per_second, std::uint64_t held);
  /// The evacuation of `zone`, which `members` members have, begins or ends, as `source` (log
  /// or peer) tells.
  void OnEvacuation(std::string_view zone, bool begins, std::size_t members,
                    std::int64_t offset, std::string_view source);
  /// The upstream names a limit with the value `found`, which is no number.
  void OnMalformedRate(std::string_view identity, std::string_view found);
  /// Requests of `account` were refused for its usage cap, as were some of `accounts` accounts,
  /// in the last interval. `since` counts from its start.
  void OnUsageRefused(std::string_view account, const usage_counters& since,
                      std::size_t accounts);
  /// The log came back from an older copy; the stream is read anew.
  void OnLogRestored(std::string_view stream);
  /// The log did not take the departure of an upstream in time, so that `waits` reports of it
  /// were not acknowledged.
  void OnDepartureNotRecorded(std::size_t waits);
  void OnUpstream(std::string_view event, std::string_view identity, std::string_view address,
                  std::uint64_t sequence);

 private:
  log_sink* sink_;
};

}  // namespace bronzeroute
