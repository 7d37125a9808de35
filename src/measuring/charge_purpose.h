#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// Kind of measurement that is charged to the measuring budget.
enum class charge_purpose : std::uint8_t {
  kMembershipProbe = 0,
  kMembershipChange = 1,
  kLoadHint = 2,
  kHealthProbe = 3,
  kTrialCall = 4,
};

inline constexpr std::size_t kChargePurposes = 5;

/// Metric label value for `purpose`.
constexpr std::string_view ChargePurposeName(charge_purpose purpose) {
  switch (purpose) {
    case charge_purpose::kMembershipProbe:
      return "membership_probe";
    case charge_purpose::kMembershipChange:
      return "membership_change";
    case charge_purpose::kLoadHint:
      return "load_hint";
    case charge_purpose::kHealthProbe:
      return "health_probe";
    case charge_purpose::kTrialCall:
      break;
  }
  return "trial_call";
}

}  // namespace bronzeroute
