#pragma once

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Requests to the upstream beside this daemon. Implemented by the transport, mocked in tests.
class upstream_port {
 public:
  virtual ~upstream_port() = default;

  /// Sends the request of `exchange` to the upstream. `fresh_connection` requires a connection
  /// that was never used before, because the HTTP client silently repeats a request that fails
  /// on a reused one.
  virtual void StartUpstream(exchange_id exchange, const attempt_id& attempt,
                             time_point deadline, bool fresh_connection) = 0;

  /// Cancels the request at the upstream; its end is still reported as an event.
  virtual void CancelUpstream(exchange_id exchange, const attempt_id& attempt) = 0;
};

}  // namespace bronzeroute
