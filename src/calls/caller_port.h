#pragma once

#include "src/base/attempt_id.h"
#include "src/base/call_id.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"

namespace bronzeroute {

/// Answers to callers. Implemented by the transport, mocked in tests.
class caller_port {
 public:
  virtual ~caller_port() = default;

  /// Answers `exchange` with the row of the error table for `kind`. `recorded_status` is the
  /// HTTP status an earlier run with the same key got, 0 if there is none.
  virtual void RespondWithError(exchange_id exchange, const call_id& call, error_kind kind,
                                int recorded_status) = 0;

  /// Passes head and body of the answer to `attempt` on to the caller of `exchange`.
  virtual void RelayResponse(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Closes the caller's connection so that a partial answer shows as cut.
  virtual void AbortResponse(exchange_id exchange) = 0;
};

}  // namespace bronzeroute
