#include "src/routing/score_function.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;

// Assumed latency one way: 1.4 ms between zones, 12 ms between regions. Inside a zone only the
// network hop itself takes time.
constexpr duration kZoneRoundTrip{2800};
constexpr duration kRegionRoundTrip{24000};
constexpr duration kSameZoneRoundTrip{200};

// Bytes assumed for a request body of unknown length, by the class of the request.
// `kAssumedShortBody` is also assumed for every response of unknown length, whatever the class.
constexpr std::uint64_t kAssumedShortBody = 4 << 10;
constexpr std::uint64_t kAssumedLongBody = 4 << 20;

// Two long requests at one upstream take two slots from its short work for a long time. Keeping
// them apart is worth a hop between zones, but not the bytes of an upload to another region.
constexpr double kLongBesideLongUs = 20'000;

constexpr duration kFreshFor = milliseconds(100);
// Age from which the service's means replace a hint: the upstream's load has changed many times
// since.
constexpr duration kForgottenAfter = milliseconds(1000);

constexpr double kMicrosecondsPerSecond = 1e6;

// A failed attempt costs the caller the time of another attempt, or the whole call fails.
constexpr double kFailureUs = 100'000;

/// 0 for a fresh hint, 1 for one that carries no information any more.
double Staleness(duration age) {
  const auto over = static_cast<double>((age - kFreshFor).count());
  const auto range = static_cast<double>((kForgottenAfter - kFreshFor).count());
  return std::clamp(over / range, 0.0, 1.0);
}

}  // namespace

duration TypicalRoundTrip(distance where) {
  switch (where) {
    case distance::kSameInstance:
      return duration(0);
    case distance::kSameZone:
      return kSameZoneRoundTrip;
    case distance::kSameRegion:
      return kZoneRoundTrip;
    case distance::kOtherRegion:
      break;
  }
  return kRegionRoundTrip;
}

double Occupancy(const candidate& row) {
  return static_cast<double>(row.hint.in_use) + row.hint.queued_short + row.hint.queued_long;
}

double RateWait(const candidate& row, time_point now) {
  if (row.hint.max_rate <= 0) return 0;
  const auto age = static_cast<double>((now - row.hint_received).count());
  const double sent_since = row.sent_since_hint / static_cast<double>(row.hint.max_rate);
  return std::max(row.hint.start_wait_us - age + sent_since * kMicrosecondsPerSecond, 0.0);
}

score ScoreOf(const candidate& row, const choice_context& context) {
  const double stale = Staleness(context.now - row.hint_received);
  const double occupancy =
      Occupancy(row) * (1 - stale) + context.mean_occupancy * stale + row.sent_since_hint;
  const double service_time =
      row.service_time_us * (1 - stale) + context.mean_service_time_us * stale;
  const double slots = std::max<double>(row.hint.effective_slots, 1);
  score result;
  result.round_trip = static_cast<double>(TypicalRoundTrip(row.where).count());
  const double us_per_byte =
      row.where == distance::kOtherRegion  ? context.costs.between_regions_us
      : row.where == distance::kSameRegion ? context.costs.between_zones_us
                                           : 0;
  if (us_per_byte > 0) {
    const std::uint64_t assumed =
        context.request.is_long ? kAssumedLongBody : kAssumedShortBody;
    const std::uint64_t body = context.request.content_length.value_or(assumed);
    result.billed_bytes =
        us_per_byte *
        static_cast<double>(body + context.request.response_bytes.value_or(kAssumedShortBody));
  }
  const double mean = context.mean_service_time_us;
  const double turn = service_time > kSlowFactor * mean ? service_time : mean;
  const double slot_wait = std::max(occupancy + 1 - slots, 0.0) * turn / slots;
  result.wait = std::max(slot_wait, RateWait(row, context.now)) + service_time;
  if (context.request.is_long) {
    result.wait += kLongBesideLongUs * (row.hint.running_long + row.hint.queued_long);
  }
  result.failures = (row.hint.failing ? 1 : row.failure_share) * kFailureUs;
  return result;
}

}  // namespace bronzeroute
