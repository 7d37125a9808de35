#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"

namespace bronzeroute {

struct upstream_announcement;
struct upstream_departure;

/// Decides which incarnation of the upstream beside this daemon is the current one.
/// Announcements may be late, out of order, from an incarnation that has ended, or from another
/// writer.
///
/// An incarnation seen for the first time follows the current one unless it started earlier.
/// Any other one replaces the current one only after several announcements without one of the
/// current incarnation in between: late announcements come one by one, those of a live
/// incarnation go on. An incarnation that has left is never accepted again.
class upstream_history {
 public:
  /// True if `announcement` is a newer one of the current incarnation, or makes its incarnation
  /// the current one.
  bool Accept(const upstream_announcement& announcement, time_point now);
  /// The incarnation of `identity` that started at `started_ms` has left. Without a start, it
  /// is the latest known one; if none is known, it is one that started before `unix_ms`, the
  /// current time of day. Times are in Unix milliseconds.
  void Retire(std::string_view identity, std::optional<std::int64_t> started_ms,
              std::int64_t unix_ms, time_point now);
  /// An earlier process beside this upstream knew that the incarnation has left.
  void Restore(const upstream_departure& departed, time_point now);
  /// The latest departure of `identity`, or nothing.
  std::optional<upstream_departure> DepartureOf(std::string_view identity) const;
  /// True if an incarnation of `identity` has announced itself.
  bool HasAnnounced(std::string_view identity) const { return LatestOf(identity) != nullptr; }
  /// True if the latest known incarnation of `identity` has left or was replaced by another.
  bool IsRetired(std::string_view identity) const;
  /// True if the incarnation has left.
  bool HasLeft(std::string_view identity, std::int64_t started_ms) const;
  /// Any incarnation may become the current one with its next announcement.
  void ClearCurrent();

 private:
  /// Identity and start, in Unix milliseconds.
  using key = std::pair<std::string, std::int64_t>;

  struct incarnation {
    std::uint64_t sequence = 0;
    time_point last_announced;
  };
  /// The latest incarnation of an identity that has left; see `upstream_departure`.
  struct departure {
    std::int64_t started_ms = 0;
    bool is_exact = true;
    time_point left;
  };

  /// True if the current incarnation is a different one that did not start before `other`.
  bool IsOutdated(const key& other) const;
  /// Counts announcements of `other`; true once there were enough without one of the current
  /// incarnation.
  bool IsPersistent(const key& other);
  const key* LatestOf(std::string_view identity) const;
  void Forget(time_point now);

  std::optional<key> current_;
  absl::flat_hash_map<key, incarnation> incarnations_;
  absl::flat_hash_map<std::string, departure> departures_;
  /// The incarnation other than the current one that announced itself last, and how often it
  /// did since the last announcement of the current one.
  key last_other_;
  int other_announcements_ = 0;
};

}  // namespace bronzeroute
