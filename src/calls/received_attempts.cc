#include "src/calls/received_attempts.h"

#include <algorithm>
#include <chrono>

namespace bronzeroute {
namespace {

/// Time for which an identity is kept. Longer than most calls take, so that a later attempt of
/// an old call is rarely mistaken for an evicted one.
constexpr duration kKept = std::chrono::minutes(2);

}  // namespace

bool received_attempts::Insert(const attempt_id& id, time_point now) {
  entry_row& entry = entries_[id.call.entry];
  if (id.call.entry_incarnation < entry.incarnation) return false;
  if (id.call.entry_incarnation > entry.incarnation) {
    entry = entry_row{.incarnation = id.call.entry_incarnation};
  }
  if (id.call.sequence <= entry.forgotten_up_to) return false;
  if (!seen_.emplace(id, true).second) return false;
  order_.emplace_back(now + kKept, id);
  while (order_.size() > capacity_) ForgetOldest();
  return true;
}

void received_attempts::ForgetOldest() {
  const attempt_id id = order_.front().second;
  order_.pop_front();
  seen_.erase(id);
  entry_row& entry = entries_[id.call.entry];
  if (entry.incarnation == id.call.entry_incarnation) {
    entry.forgotten_up_to = std::max(entry.forgotten_up_to, id.call.sequence);
  }
}

void received_attempts::Tick(time_point now) {
  while (!order_.empty() && order_.front().first <= now) ForgetOldest();
}

}  // namespace bronzeroute
