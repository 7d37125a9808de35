#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/accounts/usage_counters.h"
#include "src/accounts/usage_limiter.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/calls/usage_gate.h"

namespace bronzeroute {

class decision_log;
class membership_system;
struct document;
struct member_row;

/// Connects the usage caps of accounts to the entry, membership and the configuration.
class usage_adapter final : public usage_gate {
 public:
  /// `membership` and `decisions` must outlive the adapter.
  usage_adapter(const member_row& self, membership_system& membership, decision_log& decisions,
                time_point now);

  void SetListener(usage_listener* listener) override { listener_ = listener; }
  usage_decision Acquire(std::string_view account, std::uint64_t call, time_point wait_until,
                         time_point now) override;
  void Cancel(std::string_view account, std::uint64_t call) override;
  void Return(std::string_view account, time_point expires, time_point now) override;

  /// A document came into effect.
  void OnDocument(const document& current, time_point now);
  /// Members or their states may have changed.
  void OnMembers(time_point now);
  /// Processes the messages that membership has received.
  void OnMessages(time_point now);
  void Tick(time_point now);

  const usage_limiter& limiter() const { return limiter_; }

 private:
  /// Sends messages and passes decisions on pending calls to the listener.
  void Flush(time_point now);
  void SendMessages();
  /// Logs the accounts that had refusals since the last time.
  void LogRefusals(time_point now);

  member_id self_;
  membership_system& membership_;
  decision_log& decisions_;
  usage_limiter limiter_;
  usage_listener* listener_ = nullptr;
  std::vector<member_id> live_;
  time_point next_log_;
  /// Counters as last logged.
  std::map<std::string, usage_counters, std::less<>> logged_;
};

}  // namespace bronzeroute
