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
struct upstream_notice;

/// Receives every event of the transport, on the event loop. Implemented by the daemon.
/// The entry of a call is the daemon that took the caller's request; the owner of an attempt is
/// the daemon beside the chosen upstream.
class transport_events {
 public:
  virtual ~transport_events() = default;

  /// A caller's request head was read. A body of known length up to 64 KiB was read too.
  virtual void OnCallerRequest(const caller_request& request, time_point now) = 0;
  /// The caller disconnected before the response was complete. The exchange has ended.
  virtual void OnCallerDisconnected(exchange_id exchange, time_point now) = 0;

  /// Owner side: an attempt was received.
  virtual void OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                             time_point now) = 0;
  /// Owner side: the entry cancelled the attempt or its connection broke. The exchange has
  /// ended.
  virtual void OnEntryDisconnected(exchange_id exchange, const attempt_id& attempt,
                                   time_point now) = 0;

  /// Entry side: the owner admitted the attempt, which now occupies a slot of the upstream.
  virtual void OnAttemptAdmitted(exchange_id exchange, const attempt_id& attempt,
                                 const owner_report& report, time_point now) = 0;
  /// Entry side: the owner ended the attempt without a response from the upstream.
  virtual void OnAttemptRefused(exchange_id exchange, const attempt_id& attempt,
                                error_kind kind, int recorded_status,
                                const owner_report& report, time_point now) = 0;
  /// Entry side: the head of the upstream's response was received.
  virtual void OnResponseHead(exchange_id exchange, const attempt_id& attempt, int status,
                              const owner_report& report, time_point now) = 0;
  /// Entry side: the response body ended; it is `complete` or truncated.
  virtual void OnAttemptFinished(exchange_id exchange, const attempt_id& attempt, bool complete,
                                 const owner_report& report, time_point now) = 0;
  /// Entry side: the stream broke before a refusal or a response head; the request may have
  /// run.
  virtual void OnAttemptLost(exchange_id exchange, const attempt_id& attempt,
                             time_point now) = 0;

  /// Entry side: no channel to the owner was open in time; certainly nothing was sent.
  virtual void OnAttemptNotSent(exchange_id exchange, const attempt_id& attempt,
                                time_point now) = 0;

  /// No connection to the upstream was established; certainly nothing was sent.
  virtual void OnUpstreamConnectFailed(exchange_id exchange, const attempt_id& attempt,
                                       time_point now) = 0;
  /// The head of the upstream's response was received.
  virtual void OnUpstreamResponseHead(exchange_id exchange, const attempt_id& attempt,
                                      int status, time_point now) = 0;
  /// The upstream's response ended after its head; it is `complete` or truncated.
  virtual void OnUpstreamEnded(exchange_id exchange, const attempt_id& attempt, bool complete,
                               time_point now) = 0;
  /// The connection broke or was cancelled before a response head; the request may have run.
  virtual void OnUpstreamLost(exchange_id exchange, const attempt_id& attempt,
                              time_point now) = 0;

  /// The upstream reported that it did not run the request.
  virtual void OnUpstreamRefused(exchange_id exchange, const attempt_id& attempt,
                                 time_point now) = 0;
  /// The upstream reported its load in a response.
  virtual void OnUpstreamLoad(const load_report& report, time_point now) = 0;
  /// The head of a response of the current upstream was read, in a dialect in which it may name
  /// a limit or say that the upstream leaves.
  virtual void OnUpstreamNotice(const upstream_notice& notice, time_point now) = 0;
  /// Instead of the response to `attempt`, a response to another request was received and
  /// dropped.
  virtual void OnStrayResponse(exchange_id exchange, const attempt_id& attempt,
                               time_point now) = 0;

  /// A membership datagram was received from `from` ("ip:port").
  virtual void OnDatagram(std::string_view from, std::string_view payload, time_point now) = 0;
};

}  // namespace bronzeroute
