#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/platform/rule_break.h"

namespace bronzeroute::standin {

/// Judges that no text which leaves a daemon contains a key of a client account or of a caller,
/// or the common beginning of several.
class secrecy_oracle {
 public:
  explicit secrecy_oracle(std::vector<std::string> keys) : keys_(std::move(keys)) {}

  /// A daemon wrote `text` to `source`, for example a log or a response.
  void OnOutput(std::string_view source, std::string_view text);

  const std::vector<rule_break>& breaks() const { return breaks_; }
  std::uint64_t searched_bytes() const { return searched_bytes_; }

 private:
  std::vector<std::string> keys_;
  std::vector<rule_break> breaks_;
  std::uint64_t searched_bytes_ = 0;
};

}  // namespace bronzeroute::standin
