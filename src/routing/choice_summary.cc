#include "src/routing/choice_summary.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

std::pair<int, double> Rank(const explained_candidate* row) {
  if (row->disposition == candidate_disposition::kChosen) return {0, 0};
  if (row->disposition == candidate_disposition::kNotSelected) return {1, row->cost.Total()};
  return {2, 0};
}

}  // namespace

choice_summary::choice_summary(const choice_explanation& from)
    : policy_(from.policy), reason_(from.reason), chosen_hint_age_(from.chosen_hint_age) {
  std::vector<const explained_candidate*> kept;
  kept.reserve(from.candidates.size());
  for (const explained_candidate& each : from.candidates) kept.push_back(&each);
  const std::size_t count = std::min(kept.size(), kMaxRows);
  std::ranges::partial_sort(kept, kept.begin() + static_cast<std::ptrdiff_t>(count), {}, Rank);
  left_out_ = static_cast<std::uint32_t>(kept.size() - count);
  kept.resize(count);
  rows_.reserve(count);
  const auto needs_regions = [](const explained_candidate* each) {
    return each->disposition == candidate_disposition::kOutsideRequestRegions;
  };
  if (std::ranges::any_of(kept, needs_regions)) {
    allowed_regions_ = from.allowed_regions.substr(0, kMaxRegionsText);
  }
  for (const explained_candidate* each : kept) {
    rows_.push_back({.id = each->id,
                     .where = each->where,
                     .disposition = each->disposition,
                     .round_trip = static_cast<float>(each->cost.round_trip),
                     .billed_bytes = static_cast<float>(each->cost.billed_bytes),
                     .wait = static_cast<float>(each->cost.wait),
                     .failures = static_cast<float>(each->cost.failures)});
  }
}

std::string choice_summary::ToText(std::string_view service) const {
  if (empty()) return {};
  choice_explanation full;
  full.service = service;
  full.policy = policy_;
  full.reason = reason_;
  full.allowed_regions = allowed_regions_;
  for (const row& each : rows_) {
    full.candidates.push_back({.id = each.id,
                               .where = each.where,
                               .disposition = each.disposition,
                               .cost = {.round_trip = each.round_trip,
                                        .billed_bytes = each.billed_bytes,
                                        .wait = each.wait,
                                        .failures = each.failures}});
  }
  std::string text = full.ToText();
  if (left_out_ > 0) absl::StrAppendFormat(&text, "  %d more members\n", left_out_);
  return text;
}

}  // namespace bronzeroute
