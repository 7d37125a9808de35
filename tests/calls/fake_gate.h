#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string_view>

#include "src/calls/admission_gate.h"
#include "src/calls/admission_listener.h"
#include "src/routing/load_hint.h"

namespace bronzeroute::tests {

/// Admission with slots and one first-in-first-out queue. When the queue is full, every second
/// submission displaces the oldest queued attempt instead of being refused.
class fake_gate final : public admission_gate {
 public:
  std::size_t slots = 2;
  std::size_t queue_limit = 3;

  void SetListener(admission_listener* listener) override { listener_ = listener; }
  bool HasFreeSlot(std::string_view /*service*/, bool /*is_long*/, time_point) override {
    return running_.size() < slots;
  }
  admission_result Submit(exchange_id exchange, const attempt_head&, time_point now) override {
    if (running_.size() < slots) {
      running_.insert(exchange);
      return {admission_result::state::kStarted};
    }
    if (queue_.size() >= queue_limit && ++submissions_when_full_ % 2 == 0) {
      const exchange_id oldest = queue_.front();
      queue_.pop_front();
      queue_.push_back(exchange);
      listener_->OnQueuedRefused(oldest, error_kind::kOverloaded, now);
      return {admission_result::state::kQueued};
    }
    if (queue_.size() >= queue_limit) {
      return {admission_result::state::kRefused, error_kind::kOverloaded};
    }
    queue_.push_back(exchange);
    return {admission_result::state::kQueued};
  }
  void Cancel(exchange_id exchange, time_point) override { std::erase(queue_, exchange); }
  void OnUpstreamEnded(exchange_id exchange, upstream_outcome, time_point now) override {
    running_.erase(exchange);
    while (running_.size() < slots && !queue_.empty()) {
      const exchange_id next = queue_.front();
      queue_.pop_front();
      running_.insert(next);
      listener_->OnQueuedStart(next, now);
    }
  }
  load_hint Hint(time_point) override { return {}; }
  bool IsEmpty() const { return running_.empty() && queue_.empty(); }

 private:
  admission_listener* listener_ = nullptr;
  std::set<exchange_id> running_;
  std::deque<exchange_id> queue_;
  int submissions_when_full_ = 0;
};

}  // namespace bronzeroute::tests
