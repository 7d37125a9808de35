#include "src/membership/evacuation_set.h"

#include <algorithm>
#include <utility>

#include "src/platform/log_read.h"

namespace bronzeroute {

bool evacuation_set::OnLogRead(const log_read& read) {
  return read.is_newest_of_each ? ReplaceByNewest(read) : ApplyChanges(read);
}

bool evacuation_set::ReplaceByNewest(const log_read& read) {
  evacuation_position position{read.era, read.next};
  zone_set zones;
  for (const log_record& record : read.records) {
    position.offset = std::max(position.offset, record.offset + 1);
    if (!record.is_removal && !record.key.empty()) zones.insert(record.key);
  }
  // A peer may have told of later records than the response includes. The next read returns
  // those; going back to the older set would end an evacuation in between.
  if (!read.is_restored && position < position_) return false;
  const bool changed = position != position_ || zones != zones_;
  position_ = position;
  zones_ = std::move(zones);
  return changed;
}

bool evacuation_set::ApplyChanges(const log_read& read) {
  // The response is from before the log was restored.
  if (read.era < position_.era) return false;
  bool changed = false;
  for (const log_record& record : read.records) {
    const evacuation_position next{read.era, record.offset + 1};
    if (next <= position_) continue;
    position_ = next;
    changed = true;
    if (record.key.empty()) continue;
    if (record.is_removal) {
      zones_.erase(record.key);
    } else {
      zones_.insert(record.key);
    }
  }
  return changed;
}

bool evacuation_set::OnPeer(const evacuation_position& position,
                            std::span<const std::string> zones) {
  if (position <= position_) return false;
  position_ = position;
  zones_ = zone_set(zones.begin(), zones.end());
  return true;
}

}  // namespace bronzeroute
