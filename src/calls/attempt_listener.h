#pragma once

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

struct owner_message_identity;
struct load_hint;

/// Receives what an owner reports about attempts; implemented by the entry. The transport
/// reports the messages of peers, the owner in the same process reports directly.
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
  /// The response ended; `complete` is false if its body was cut.
  virtual void OnAttemptFinished(const owner_message_identity& from, bool complete,
                                 const load_hint& hint, time_point now) = 0;
};

}  // namespace bronzeroute
