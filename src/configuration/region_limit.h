#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeroute {

/// The regions in which work may run and its data may be kept. Without a limit these are all
/// regions; a limit may also allow none.
class region_limit {
 public:
  region_limit() = default;
  /// Allows only `regions`.
  explicit region_limit(std::vector<std::string> regions)
      : is_limited_(true), regions_(std::move(regions)) {}

  bool is_limited() const { return is_limited_; }
  /// The allowed regions; meaningful only with a limit.
  const std::vector<std::string>& regions() const { return regions_; }

  bool Allows(std::string_view region) const {
    return !is_limited_ || std::ranges::find(regions_, region) != regions_.end();
  }

  /// The limit that allows what both allow.
  region_limit And(const region_limit& other) const {
    if (!is_limited_) return other;
    if (!other.is_limited_) return *this;
    std::vector<std::string> both;
    for (const std::string& region : regions_) {
      if (other.Allows(region)) both.push_back(region);
    }
    return region_limit(std::move(both));
  }

  bool operator==(const region_limit&) const = default;

 private:
  bool is_limited_ = false;
  std::vector<std::string> regions_;
};

}  // namespace bronzeroute
