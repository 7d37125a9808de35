#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "src/calls/upstream_chooser.h"
#include "src/routing/choice_explanation.h"
#include "src/routing/policy_two_choices.h"
#include "src/routing/routing_system.h"

namespace bronzeroute {

class configuration_system;

/// Adapts the routing system to the interface that the entry uses.
class routing_adapter final : public upstream_chooser {
 public:
  /// `configuration` must outlive the adapter.
  routing_adapter(const configuration_system& configuration, std::uint64_t seed,
                  transfer_cost costs, bool eject_on_error_answers)
      : configuration_(configuration),
        eject_on_error_answers_(eject_on_error_answers),
        system_(seed, {}, costs) {}

  std::optional<member_target> Choose(std::string_view service, const choice_request& request,
                                      std::span<const member_id> excluded,
                                      time_point now) override;
  const choice_explanation* LastChoice() const override { return &last_choice_; }
  void OnNewerIncarnation(member_target owner) override {
    system_.OnNewerIncarnation(owner.id, owner.incarnation);
  }
  void OnHint(member_target owner, const load_hint& hint, time_point now) override;
  void OnKeyIssued(member_target home, time_point now) override;
  void OnAttemptSent(member_target owner, time_point now) override;
  void OnAttemptEnded(member_target owner, attempt_outcome outcome, time_point now) override;

  void OnMembers(std::span<const member_row> members, const member_row& self, time_point now);
  /// Members in `zones` get no work from the next `OnMembers` on.
  void SetEvacuated(const std::set<std::string, std::less<>>& zones) {
    system_.SetEvacuated(zones);
  }
  /// True if choices prefer `member`, so that a channel to it should be kept open.
  bool IsPreferred(member_id member) const { return system_.IsPreferred(member); }

 private:
  attempt_end EndOf(attempt_outcome outcome) const;

  const configuration_system& configuration_;
  bool eject_on_error_answers_;
  routing_system<policy_two_choices> system_;
  /// Members with an open trial call; a member has at most one.
  absl::flat_hash_set<member_id> trials_;
  std::optional<member_id> chosen_trial_;
  choice_explanation last_choice_;
};

}  // namespace bronzeroute
