#include "src/base/error_kind.h"

#include <array>

#include "src/base/error_response.h"

namespace bronzeroute {
namespace {

constexpr execution kNotRun = execution::kNotRun;
constexpr execution kUnknown = execution::kUnknown;
constexpr execution kRan = execution::kRan;

using enum error_kind;

// Retry delay for a busy upstream: a slot becomes free within the time of one or two short
// requests.
constexpr duration kBusyRetryDelay = std::chrono::milliseconds(100);
// Retry delay while a membership or configuration change still propagates.
constexpr duration kPropagationRetryDelay = std::chrono::milliseconds(250);

// Retry delay while the daemon beside the caller restarts.
constexpr duration kRestartRetryDelay = std::chrono::seconds(1);

// Retry delay until an operator has published a corrected configuration: an earlier retry gets
// the same response.
constexpr duration kCorrectionRetryDelay = std::chrono::seconds(5);

constexpr auto kTable = std::to_array<error_response>({
    {kNone, "none", 200, kRan, false, "No error."},
    {kBadHeader, "bad_header", 400, kNotRun, false, "A Bronzeroute header is malformed."},
    {kFieldTooLarge, "field_too_large", 431, kNotRun, false, "A request field is too large."},
    {kUnknownService, "unknown_service", 404, kNotRun, false,
     "The configuration in force has no such service."},
    {kTooDeep, "too_deep", 508, kNotRun, false, "The call exceeds the maximum nesting depth."},
    {kNotReady, "not_ready", 503, kNotRun, false, "No configuration is in force yet.",
     kPropagationRetryDelay},
    {kNoUpstream, "no_upstream", 503, kNotRun, false, "No upstream can take the request.",
     kBusyRetryDelay},
    {kDeadlineTooShort, "deadline_too_short", 503, kNotRun, true,
     "The request cannot complete before its deadline.", kBusyRetryDelay},
    {kOverloaded, "overloaded", 503, kNotRun, true, "Slots and queue of the upstream are full.",
     kBusyRetryDelay},
    {kQueueTimeout, "queue_timeout", 503, kNotRun, false,
     "The request timed out in the upstream's queue before it started.", kBusyRetryDelay},
    {kDraining, "draining", 503, kNotRun, true,
     "The upstream is draining and accepts no new requests.", kBusyRetryDelay},
    {kWrongIncarnation, "wrong_incarnation", 503, kNotRun, true,
     "The attempt names an earlier incarnation of this process.", kBusyRetryDelay},
    {kCancelled, "cancelled", 499, kNotRun, false,
     "The caller cancelled the request before it started."},
    {kUpstreamConnectFailed, "upstream_connect_failed", 502, kNotRun, true,
     "No connection to the upstream could be made."},
    {kUpstreamEjected, "upstream_ejected", 503, kNotRun, true,
     "The upstream is ejected because of failed requests.", kBusyRetryDelay},
    {kRetryBudgetEmpty, "retry_budget_empty", 503, kNotRun, false,
     "The retry budget is exhausted.", kBusyRetryDelay},
    {kPeerUnreachable, "peer_unreachable", 503, kNotRun, true,
     "There is no open channel to the daemon beside the upstream.", kBusyRetryDelay},
    {kAnswerLost, "answer_lost", 504, kUnknown, false,
     "The request may have run; no response was received."},
    {kDeadlineExceeded, "deadline_exceeded", 504, kUnknown, false,
     "The deadline passed while the request may have been running."},
    {kAnswerCut, "answer_cut", 502, kRan, false, "The response ended before it was complete."},
    {kDuplicateKey, "duplicate_key", 409, kRan, false, "A request with this key already ran."},
    {kKeyInProgress, "key_in_progress", 409, kUnknown, false,
     "A request with this key is in progress."},
    {kKeyHomeLost, "key_home_lost", 409, kUnknown, false,
     "The process that held the record of this key has ended; an earlier try may have run."},
    {kKeyExpired, "key_expired", 409, kUnknown, false,
     "The record of this key has expired; an earlier try may have run."},
    {kKeyUnknown, "key_unknown", 409, kUnknown, false,
     "This process has no record of the key; an earlier try may have run."},
    {kKeyTableFull, "key_table_full", 503, kNotRun, false,
     "The idempotency key table is full."},
    {kDuplicateAttempt, "duplicate_attempt", 409, kUnknown, false,
     "This attempt was already received."},
    {kBadKey, "bad_key", 400, kNotRun, false, "The idempotency key is malformed."},
    {kUnknownEndpoint, "unknown_endpoint", 404, kNotRun, false, "There is no such endpoint."},
    {kWrongService, "wrong_service", 503, kNotRun, true,
     "The upstream beside this daemon belongs to another service.", kBusyRetryDelay},
    {kBodyTooLarge, "body_too_large", 413, kNotRun, false, "The request body is too large."},
    {kUpstreamRefused, "upstream_refused", 503, kNotRun, true,
     "The upstream reported that it did not run the request.", kBusyRetryDelay},
    {kUnknownRoute, "unknown_route", 404, kNotRun, false,
     "The configuration in force has no route for the host and path."},
    {kUpstreamSlow, "upstream_slow", 503, kNotRun, true,
     "The upstream is currently slow; another upstream may be faster.", kBusyRetryDelay},
    {kStopping, "stopping", 503, kNotRun, false,
     "This daemon is stopping and takes no further requests.", kRestartRetryDelay},
    {kUnknownCredential, "unknown_credential", 401, kNotRun, false,
     "No account of the configuration in force holds the key of the request."},
    {kUsageCapReached, "usage_cap_reached", 429, kNotRun, false,
     "The account has used up its rate of requests.", kBusyRetryDelay},
    {kOutsideRegions, "outside_regions", 503, kNotRun, true,
     "No upstream in the regions allowed for the request can take it.", kBusyRetryDelay},
    {kEvacuated, "evacuated", 503, kNotRun, true,
     "The availability zone of the upstream is evacuated.", kBusyRetryDelay},
    {kUnservableRoute, "unservable_route", 503, kNotRun, false,
     "The configuration in force names no usable service for this request of the route.",
     kCorrectionRetryDelay},
    {kUnservableAccount, "unservable_account", 503, kNotRun, false,
     "The configuration in force contains the key, but no single usable account that holds it.",
     kCorrectionRetryDelay},
});

}  // namespace

const error_response& ErrorResponseFor(error_kind kind) {
  return kTable[static_cast<std::size_t>(kind)];
}

error_kind ErrorKindFromNumber(std::uint32_t value) {
  return value < kTable.size() ? static_cast<error_kind>(value) : kAnswerLost;
}

std::span<const error_response> AllErrorResponses() { return kTable; }

}  // namespace bronzeroute
