#include "src/routing/hint_rate_limiter.h"

#include "src/routing/load_hint.h"

namespace bronzeroute {

bool hint_rate_limiter::IsDue(member_id entry, const load_hint& hint, bool is_refusal,
                              time_point now) {
  if (sent_.size() >= kMaxRows) sent_.clear();
  const auto [found, is_new] = sent_.try_emplace(entry);
  sent_row& row = found->second;
  const bool changed = row.failing != hint.failing || row.draining != hint.draining;
  if (!is_new && !is_refusal && !changed && now < row.next_due) return false;
  row = {.next_due = now + kInterval, .failing = hint.failing, .draining = hint.draining};
  return true;
}

}  // namespace bronzeroute
