#pragma once

#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/call_id.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Responses to callers. Implemented by the transport, mocked in tests.
class caller_port {
 public:
  virtual ~caller_port() = default;

  /// Removes the key of the caller's account from the request of `exchange` and sets the
  /// account field to `account`, or removes it if `account` is empty. Called before the first
  /// attempt if the configuration in effect has accounts; applies to each attempt.
  virtual void SetAccount(exchange_id exchange, std::string_view account) = 0;

  /// Responds to `exchange` with the error of `kind` as the error table defines it.
  /// `recorded_status` is the HTTP status of an earlier execution with the same key, 0 if there
  /// is none. `retry_after` replaces that of the table unless it is 0.
  virtual void RespondWithError(exchange_id exchange, const call_id& call, error_kind kind,
                                int recorded_status, duration retry_after) = 0;
  void RespondWithError(exchange_id exchange, const call_id& call, error_kind kind,
                        int recorded_status) {
    RespondWithError(exchange, call, kind, recorded_status, duration(0));
  }

  /// Relays head and body of the response to `attempt` to the caller of `exchange`.
  virtual void RelayResponse(exchange_id exchange, const attempt_id& attempt) = 0;

  /// Aborts the caller's connection, so that the caller can detect the truncated response.
  virtual void AbortResponse(exchange_id exchange) = 0;
};

}  // namespace bronzeroute
