#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bronzeroute {

struct error_response;

/// All error kinds. The numbers are sent between processes: never reuse one.
enum class error_kind : std::uint8_t {
  kNone = 0,
  kBadHeader = 1,
  kFieldTooLarge = 2,
  kUnknownService = 3,
  kTooDeep = 4,
  kNotReady = 5,
  kNoUpstream = 6,
  kDeadlineTooShort = 7,
  kOverloaded = 8,
  kQueueTimeout = 9,
  kDraining = 10,
  kWrongIncarnation = 11,
  kCancelled = 12,
  kUpstreamConnectFailed = 13,
  kUpstreamEjected = 14,
  kRetryBudgetEmpty = 15,
  kPeerUnreachable = 16,
  kAnswerLost = 17,
  kDeadlineExceeded = 18,
  kAnswerCut = 19,
  kDuplicateKey = 20,
  kKeyInProgress = 21,
  kKeyHomeLost = 22,
  kKeyExpired = 23,
  kKeyUnknown = 24,
  kKeyTableFull = 25,
  kDuplicateAttempt = 26,
  kBadKey = 27,
  kUnknownEndpoint = 28,
  kWrongService = 29,
  kBodyTooLarge = 30,
  kUpstreamRefused = 31,
  kUnknownRoute = 32,
  kUpstreamSlow = 33,
  kStopping = 34,
  kUnknownCredential = 35,
  kUsageCapReached = 36,
  kOutsideRegions = 37,
  kEvacuated = 38,
  kUnservableRoute = 39,
  kUnservableAccount = 40,
};

/// The response that a caller receives for `kind`.
const error_response& ErrorResponseFor(error_kind kind);

/// The kind with number `value`, or kAnswerLost for a number that this build does not define:
/// an unknown kind must never be read as a statement that the request was not run.
error_kind ErrorKindFromNumber(std::uint32_t value);

/// All rows of the table, in the order of the enumeration.
std::span<const error_response> AllErrorResponses();

}  // namespace bronzeroute
