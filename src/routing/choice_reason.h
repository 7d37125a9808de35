#pragma once

#include <cstdint>

namespace bronzeroute {

/// Why a member was chosen, or why none was.
enum class choice_reason : std::uint8_t {
  kPolicy,
  kOwnUpstreamFree,
  kOnlyCandidate,
  kTrialCall,
  kNoMembers,
  kNoEligibleMember,
};

}  // namespace bronzeroute
