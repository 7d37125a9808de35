#include "src/measuring/latency_summary.h"

#include <algorithm>
#include <cmath>

namespace bronzeroute {
namespace {

namespace acc = boost::accumulators;

constexpr duration kGeneration = std::chrono::minutes(5);

}  // namespace

latency_summary::generation::generation()
    : samples(acc::tag::extended_p_square::probabilities = kQuantiles) {}

latency_summary::latency_summary() = default;

void latency_summary::Rotate(time_point now) {
  if (now < rotate_at_) return;
  // Without samples for a whole generation, the younger one has expired too.
  if (now >= rotate_at_ + kGeneration) generations_[1 - older_] = generation();
  generations_[older_] = generation();
  older_ = 1 - older_;
  rotate_at_ = now + kGeneration;
}

void latency_summary::Add(duration latency, time_point now) {
  Rotate(now);
  const auto value = static_cast<double>(latency.count());
  for (generation& each : generations_) {
    const std::size_t sample_count = acc::count(each.samples);
    if (sample_count < kMarkers) each.first_samples[sample_count] = value;
    each.samples(value);
  }
  ++count_;
  sum_ += latency;
}

const latency_summary::generation* latency_summary::Reported(time_point now) const {
  if (now >= rotate_at_ + kGeneration) return nullptr;
  // After the rotation time, only the younger generation is within the window.
  const generation& reported = generations_[now >= rotate_at_ ? 1 - older_ : older_];
  return acc::count(reported.samples) == 0 ? nullptr : &reported;
}

duration latency_summary::Quantile(std::size_t index, time_point now) const {
  const generation* reported = Reported(now);
  if (reported == nullptr) return duration::zero();
  const std::size_t sample_count = acc::count(reported->samples);
  if (sample_count > kMarkers) {
    return duration(std::llround(
        acc::extended_p_square(reported->samples)[static_cast<std::ptrdiff_t>(index)]));
  }
  std::array<double, kMarkers> sorted = reported->first_samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(sample_count);
  std::sort(sorted.begin(), end);
  const auto rank = static_cast<std::size_t>(
      std::ceil(kQuantiles[index] * static_cast<double>(sample_count)));
  return duration(std::llround(sorted[std::max<std::size_t>(rank, 1) - 1]));
}

duration latency_summary::Highest(time_point now) const {
  const generation* reported = Reported(now);
  if (reported == nullptr) return duration::zero();
  return duration(std::llround(acc::max(reported->samples)));
}

}  // namespace bronzeroute
