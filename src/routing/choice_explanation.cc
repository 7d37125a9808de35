#include "src/routing/choice_explanation.h"

#include <algorithm>

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

std::string_view ReasonText(choice_reason reason) {
  switch (reason) {
    case choice_reason::kPolicy:
      return "chosen by the policy";
    case choice_reason::kOwnUpstreamFree:
      return "the upstream of this instance has a free slot";
    case choice_reason::kOnlyCandidate:
      return "only one member is eligible";
    case choice_reason::kTrialCall:
      return "trial call of an ejected member";
    case choice_reason::kNoMembers:
      return "none: no member serves the service";
    case choice_reason::kNoEligibleMember:
      break;
  }
  return "none: no member is eligible";
}

std::string_view DispositionText(candidate_disposition disposition) {
  switch (disposition) {
    case candidate_disposition::kChosen:
      return "chosen";
    case candidate_disposition::kNotSelected:
      return "not selected";
    case candidate_disposition::kExcludedByCaller:
      return "already tried";
    case candidate_disposition::kDraining:
      return "draining";
    case candidate_disposition::kSuspect:
      return "suspected of failure";
    case candidate_disposition::kEjected:
      return "ejected";
    case candidate_disposition::kEvacuated:
      return "evacuated";
    case candidate_disposition::kOutsideRegions:
      return "outside the regions of the service";
    case candidate_disposition::kOutsideRequestRegions:
      break;
  }
  return "outside the regions allowed for the request";
}

std::string_view DistanceText(distance where) {
  switch (where) {
    case distance::kSameInstance:
      return "same instance";
    case distance::kSameZone:
      return "same zone";
    case distance::kSameRegion:
      return "same region";
    case distance::kOtherRegion:
      break;
  }
  return "other region";
}

}  // namespace

std::optional<duration> choice_explanation::OtherCost() const {
  double chosen = 0;
  std::optional<double> other;
  for (const explained_candidate& row : candidates) {
    const double path_cost = row.cost.round_trip + row.cost.billed_bytes;
    if (row.disposition == candidate_disposition::kChosen) chosen = path_cost;
    if (row.disposition == candidate_disposition::kNotSelected) {
      other = std::min(other.value_or(path_cost), path_cost);
    }
  }
  if (!other) return std::nullopt;
  return duration(static_cast<duration::rep>(std::max(*other - chosen, 0.0)));
}

std::string choice_explanation::ToText() const {
  std::string text =
      absl::StrFormat("service %s, policy %s: %s\n", service, policy, ReasonText(reason));
  for (const explained_candidate& row : candidates) {
    absl::StrAppendFormat(&text, "  member %016x, %s: %s", row.id.value,
                          DistanceText(row.where), DispositionText(row.disposition));
    if (row.disposition == candidate_disposition::kOutsideRequestRegions) {
      absl::StrAppendFormat(&text, " (%s)", allowed_regions.empty() ? "none" : allowed_regions);
    }
    if (row.disposition == candidate_disposition::kChosen ||
        row.disposition == candidate_disposition::kNotSelected) {
      absl::StrAppendFormat(
          &text,
          "; score %.0f us = round trip %.0f + billed bytes %.0f + wait %.0f + failures %.0f",
          row.cost.Total(), row.cost.round_trip, row.cost.billed_bytes, row.cost.wait,
          row.cost.failures);
    }
    text += '\n';
  }
  return text;
}

}  // namespace bronzeroute
