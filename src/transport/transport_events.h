#pragma once

#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

struct attempt_head;
struct caller_request;
struct load_report;
struct owner_report;

/// Receives every event of the transport, on the event loop. Implemented by the node's driver.
class transport_events {
 public:
  virtual ~transport_events() = default;

  /// A caller's request head was read; a body of at most 64 KiB and known length too.
  virtual void OnCallerRequest(const caller_request& request, time_point now) = 0;
  /// The caller's connection broke before its answer was complete. The exchange is over.
  virtual void OnCallerDisconnected(exchange_id exchange, time_point now) = 0;

  /// Owner side: an attempt arrived.
  virtual void OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                             time_point now) = 0;
  /// Owner side: the entry cancelled the attempt or its connection broke. The exchange is over.
  virtual void OnPeerGone(exchange_id exchange, const attempt_id& attempt, time_point now) = 0;

  /// Entry side: the owner gave the attempt a slot.
  virtual void OnAttemptAdmitted(exchange_id exchange, const attempt_id& attempt,
                                 const owner_report& report, time_point now) = 0;
  /// Entry side: the owner ended the attempt without an answer of the upstream.
  virtual void OnAttemptRefused(exchange_id exchange, const attempt_id& attempt,
                                error_kind kind, int recorded_status,
                                const owner_report& report, time_point now) = 0;
  /// Entry side: the head of the upstream's answer arrived.
  virtual void OnResponseHead(exchange_id exchange, const attempt_id& attempt, int status,
                              const owner_report& report, time_point now) = 0;
  /// Entry side: the answer's body ended; it is `complete`, or was cut.
  virtual void OnAttemptFinished(exchange_id exchange, const attempt_id& attempt, bool complete,
                                 const owner_report& report, time_point now) = 0;
  /// Entry side: the stream broke before a refusal or an answer head; the request may have run.
  virtual void OnAttemptLost(exchange_id exchange, const attempt_id& attempt,
                             time_point now) = 0;

  /// No connection to the upstream came about; certainly nothing was sent.
  virtual void OnUpstreamConnectFailed(exchange_id exchange, const attempt_id& attempt,
                                       time_point now) = 0;
  /// The head of the upstream's answer arrived.
  virtual void OnUpstreamResponseHead(exchange_id exchange, const attempt_id& attempt,
                                      int status, time_point now) = 0;
  /// The upstream's answer ended after its head; it is `complete`, or was cut.
  virtual void OnUpstreamEnded(exchange_id exchange, const attempt_id& attempt, bool complete,
                               time_point now) = 0;
  /// The connection broke or was cancelled before an answer head; the request may have run.
  virtual void OnUpstreamLost(exchange_id exchange, const attempt_id& attempt,
                              time_point now) = 0;

  /// The upstream stated that it did not run the request.
  virtual void OnUpstreamRefused(exchange_id exchange, const attempt_id& attempt,
                                 time_point now) = 0;
  /// The upstream told its load beside an answer.
  virtual void OnUpstreamLoad(const load_report& report, time_point now) = 0;
  /// An answer to another request came where that to `attempt` was due; it was dropped.
  virtual void OnStrayResponse(exchange_id exchange, const attempt_id& attempt,
                               time_point now) = 0;

  /// A membership datagram came from `from` ("ip:port").
  virtual void OnDatagram(std::string_view from, std::string_view payload, time_point now) = 0;
};

}  // namespace bronzeroute
