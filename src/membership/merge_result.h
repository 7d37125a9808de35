#pragma once

namespace bronzeroute {

/// What merging an update changed in the member table.
struct merge_result {
  bool added = false;
  bool new_incarnation = false;
  bool state_changed = false;
  bool refutation_changed = false;
  bool draining_changed = false;
  bool details_changed = false;
  /// The update names an incarnation or details version whose details the table lacks.
  bool needs_details = false;
  /// The update has state alive, and the row is dead with the same or a higher refutation
  /// counter.
  bool contradicts_dead = false;
  /// The update is of an earlier incarnation than the row.
  bool earlier_incarnation = false;

  /// True if the change should be passed on to peers.
  bool changed() const {
    return added || new_incarnation || state_changed || refutation_changed ||
           draining_changed || details_changed;
  }
};

}  // namespace bronzeroute
