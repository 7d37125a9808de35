#include "src/node/routing_adapter.h"

#include <memory>
#include <utility>

#include "src/configuration/configuration_system.h"
#include "src/membership/member_row.h"

namespace bronzeroute {

attempt_end routing_adapter::EndOf(attempt_outcome outcome) const {
  switch (outcome) {
    case attempt_outcome::kCompleted:
      return attempt_end::kCompleted;
    case attempt_outcome::kRefused:
      return attempt_end::kRefused;
    case attempt_outcome::kNotSent:
    case attempt_outcome::kCancelled:
      return attempt_end::kCancelled;
    case attempt_outcome::kFailed:
      return eject_on_error_answers_ ? attempt_end::kFailed : attempt_end::kErrorResponse;
    case attempt_outcome::kLost:
    case attempt_outcome::kTruncated:
    case attempt_outcome::kTimedOut:
      break;
  }
  return attempt_end::kFailed;
}

std::optional<member_target> routing_adapter::Choose(std::string_view service,
                                                     const choice_request& request,
                                                     std::span<const member_id> excluded,
                                                     time_point now) {
  chosen_trial_.reset();
  last_choice_ = {};
  const std::shared_ptr<const document> current = configuration_.current();
  const service_spec* spec = current == nullptr ? nullptr : current->FindService(service);
  if (spec == nullptr) {
    return std::nullopt;
  }
  choice_result result = system_.Choose(*spec, request, excluded, now);
  last_choice_ = std::move(result.explanation);
  if (!result.member) {
    return std::nullopt;
  }
  if (result.is_trial) {
    chosen_trial_ = result.member;
  }
  return member_target{*result.member, result.incarnation};
}

void routing_adapter::OnHint(member_target owner, const load_hint& hint, time_point now) {
  // The owner left the hint out, because it was not due or exceeded the measuring budget.
  if (hint.sequence == 0) {
    return;
  }
  system_.OnHint(owner.id, owner.incarnation, hint, now);
}

void routing_adapter::OnKeyIssued(member_target home, time_point now) {
  system_.OnWorkExpected(home.id, now);
}

void routing_adapter::OnAttemptSent(member_target owner, time_point now) {
  const bool is_trial = chosen_trial_ == owner.id;
  if (is_trial) {
    trials_.insert(owner.id);
    chosen_trial_.reset();
  }
  system_.OnAttemptSent(owner.id, is_trial, now);
}

void routing_adapter::OnAttemptEnded(member_target owner, attempt_outcome outcome,
                                     time_point now) {
  const bool is_trial = trials_.erase(owner.id) > 0;
  system_.OnAttemptEnded(owner.id, EndOf(outcome), is_trial, now);
}

void routing_adapter::OnMembers(std::span<const member_row> members, const member_row& self,
                                time_point now) {
  system_.OnMembers(members, self.id, self.region, self.availability_zone, now);
}

}  // namespace bronzeroute
