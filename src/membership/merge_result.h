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
  /// The update names a run or details of which the table lacks the text.
  bool needs_details = false;
  /// The update says alive, and the row is dead with the same or a higher refutation counter.
  bool contradicts_dead = false;
  /// The update is of an earlier run than the row.
  bool earlier_incarnation = false;

  /// True if peers should hear of it.
  bool changed() const {
    return added || new_incarnation || state_changed || refutation_changed || draining_changed ||
           details_changed;
  }
};

}  // namespace bronzeroute
