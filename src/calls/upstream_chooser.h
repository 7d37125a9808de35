#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/calls/attempt_outcome.h"
#include "src/calls/member_target.h"

namespace bronzeroute {

struct choice_explanation;
struct choice_request;
struct load_hint;

/// Choice of the upstream for an attempt, as the entry uses it.
class upstream_chooser {
 public:
  virtual ~upstream_chooser() = default;

  /// A member that serves `service` and is not in `excluded`, or nothing. A protected call
  /// serves as the trial call of an ejected upstream only if no other call does for some time.
  virtual std::optional<member_target> Choose(std::string_view service,
                                              const choice_request& request,
                                              std::span<const member_id> excluded,
                                              time_point now) = 0;

  /// How the last `Choose` came to its result, or null if that is not known. Valid until the
  /// next call of `Choose`.
  virtual const choice_explanation* LastChoice() const { return nullptr; }

  /// A message from the member showed that its incarnation is that of `owner`, which is later
  /// than the one chosen.
  virtual void OnNewerIncarnation(member_target /*owner*/) {}
  virtual void OnHint(member_target owner, const load_hint& hint, time_point now) = 0;
  /// A key with this home was issued: a call to it will follow that no load hint includes yet.
  virtual void OnKeyIssued(member_target home, time_point now) = 0;
  virtual void OnAttemptSent(member_target owner, time_point now) = 0;
  /// Called once for every attempt that was sent.
  virtual void OnAttemptEnded(member_target owner, attempt_outcome outcome, time_point now) = 0;
};

}  // namespace bronzeroute
