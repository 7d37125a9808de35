#include "src/base/error_kind.h"

#include <array>

#include "src/base/error_response.h"

namespace bronzeroute {
namespace {

constexpr execution kNotRun = execution::kNotRun;
constexpr execution kUnknown = execution::kUnknown;
constexpr execution kRan = execution::kRan;

using enum error_kind;

// A slot of a busy upstream comes free within the time of a short request or two.
constexpr duration kSoon = std::chrono::milliseconds(100);
// A change of the members or of the configuration takes a moment to arrive.
constexpr duration kLater = std::chrono::milliseconds(250);

constexpr auto kTable = std::to_array<error_response>({
    {kNone, "none", 200, kRan, false, "No error."},
    {kBadHeader, "bad_header", 400, kNotRun, false, "A Bronzeroute header is malformed."},
    {kFieldTooLarge, "field_too_large", 431, kNotRun, false, "A request field is too large."},
    {kUnknownService, "unknown_service", 404, kNotRun, false,
     "The configuration in force has no such service."},
    {kTooDeep, "too_deep", 508, kNotRun, false, "The call is nested too deep."},
    {kNotReady, "not_ready", 503, kNotRun, false, "No configuration is in force yet.", kLater},
    {kNoUpstream, "no_upstream", 503, kNotRun, false, "No upstream can take the request.",
     kSoon},
    {kDeadlineTooShort, "deadline_too_short", 503, kNotRun, true,
     "The request would be answered after its deadline.", kSoon},
    {kOverloaded, "overloaded", 503, kNotRun, true, "Slots and queue of the upstream are full.",
     kSoon},
    {kQueueTimeout, "queue_timeout", 503, kNotRun, false,
     "The request left the queue before it could start.", kSoon},
    {kDraining, "draining", 503, kNotRun, true, "The upstream is leaving.", kSoon},
    {kWrongIncarnation, "wrong_incarnation", 503, kNotRun, true,
     "The attempt names an earlier run of this process.", kSoon},
    {kCancelled, "cancelled", 499, kNotRun, false, "The caller cancelled before the start."},
    {kUpstreamConnectFailed, "upstream_connect_failed", 502, kNotRun, true,
     "No connection to the upstream could be made."},
    {kUpstreamEjected, "upstream_ejected", 503, kNotRun, true, "The upstream is failing.",
     kSoon},
    {kRetryBudgetEmpty, "retry_budget_empty", 503, kNotRun, false,
     "The budget for further attempts is used up.", kSoon},
    {kPeerUnreachable, "peer_unreachable", 503, kNotRun, true,
     "There is no open channel to the process beside the upstream.", kSoon},
    {kAnswerLost, "answer_lost", 504, kUnknown, false,
     "The request may have run; no answer came."},
    {kDeadlineExceeded, "deadline_exceeded", 504, kUnknown, false,
     "The deadline passed while the request may have been running."},
    {kAnswerCut, "answer_cut", 502, kRan, false, "The answer ended before it was complete."},
    {kDuplicateKey, "duplicate_key", 409, kRan, false, "A request with this key already ran."},
    {kKeyInProgress, "key_in_progress", 409, kUnknown, false,
     "A request with this key is in progress."},
    {kKeyHomeLost, "key_home_lost", 409, kUnknown, false,
     "The process that kept this key is gone; an earlier try may have run."},
    {kKeyExpired, "key_expired", 409, kUnknown, false,
     "The key is older than its record; an earlier try may have run."},
    {kKeyUnknown, "key_unknown", 409, kUnknown, false,
     "No record of an earlier try is kept here; it may have run."},
    {kKeyTableFull, "key_table_full", 503, kNotRun, false, "The table of keys is full."},
    {kDuplicateAttempt, "duplicate_attempt", 409, kUnknown, false,
     "This attempt was received before."},
    {kBadKey, "bad_key", 400, kNotRun, false, "The idempotency key is malformed."},
    {kUnknownEndpoint, "unknown_endpoint", 404, kNotRun, false, "There is no such endpoint."},
    {kWrongService, "wrong_service", 503, kNotRun, true,
     "The upstream beside this process serves another service.", kSoon},
    {kBodyTooLarge, "body_too_large", 413, kNotRun, false, "The request body is too large."},
    {kUpstreamRefused, "upstream_refused", 503, kNotRun, true,
     "The upstream says that it did not run the request.", kSoon},
    {kUnknownRoute, "unknown_route", 404, kNotRun, false,
     "The configuration in force has no route for the host and path."},
    {kUpstreamSlow, "upstream_slow", 503, kNotRun, true,
     "The upstream is slow at the moment; another may be faster.", kSoon},
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
