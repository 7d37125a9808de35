#pragma once

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

struct owner_message_identity;
struct load_hint;

/// Receives the owners' reports on attempts; implemented by the entry. The transport passes on
/// the messages of peers; the owner in the same process calls this interface directly.
class attempt_listener {
 public:
  virtual ~attempt_listener() = default;

  virtual void OnAttemptAdmitted(const owner_message_identity& from, const load_hint& hint,
                                 time_point now) = 0;
  virtual void OnAttemptRefused(const owner_message_identity& from, error_kind kind,
                                int recorded_status, const load_hint& hint, time_point now) = 0;
  /// `status` is the HTTP status of the response.
  virtual void OnResponseHead(const owner_message_identity& from, int status,
                              time_point now) = 0;
  /// The response ended; `complete` is false if its body was truncated.
  virtual void OnAttemptFinished(const owner_message_identity& from, bool complete,
                                 const load_hint& hint, time_point now) = 0;
};

}  // namespace bronzeroute
