#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/routing/candidate_disposition.h"
#include "src/routing/choice_explanation.h"
#include "src/routing/choice_reason.h"
#include "src/routing/distance.h"

namespace bronzeroute {

/// A choice_explanation in bounded memory, kept for `explain`.
class choice_summary {
 public:
  /// Rows kept of one choice: the chosen member, then those with the lowest scores, then the
  /// rest. With 4096 calls of 3 attempts in the call history, 6 rows of 32 bytes are at
  /// most 2.4 MB.
  static constexpr std::size_t kMaxRows = 6;
  /// Bytes kept of the allowed regions, which come from the document and have no bound there.
  static constexpr std::size_t kMaxRegionsText = 64;

  choice_summary() = default;
  explicit choice_summary(const choice_explanation& from);

  bool empty() const { return policy_.empty(); }
  std::size_t size() const { return rows_.size(); }
  /// Age of the hint on the chosen member, if there was one.
  std::optional<duration> chosen_hint_age() const { return chosen_hint_age_; }
  /// The text of the explanation, and the number of members left out.
  std::string ToText(std::string_view service) const;

 private:
  struct row {
    member_id id;
    distance where = distance::kSameZone;
    candidate_disposition disposition = candidate_disposition::kNotSelected;
    /// Terms of the score in microseconds.
    float round_trip = 0;
    float billed_bytes = 0;
    float wait = 0;
    float failures = 0;
  };

  /// Name of the policy, a constant; empty if there was no choice.
  std::string_view policy_;
  choice_reason reason_ = choice_reason::kNoMembers;
  std::uint32_t left_out_ = 0;
  std::vector<row> rows_;
  /// Regions that the request allows, cut to kMaxRegionsText; kept only if a row needs them.
  std::string allowed_regions_;
  std::optional<duration> chosen_hint_age_;
};

}  // namespace bronzeroute
