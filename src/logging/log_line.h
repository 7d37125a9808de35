#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

#include "src/base/concat.h"
#include "src/base/time.h"
#include "src/logging/log_weight.h"

namespace bronzeroute {

/// One structured log line: the part of the daemon, the event, and "key=value" fields in the
/// order in which they were added. `log_writer` prepends the time and the level.
class log_line {
 public:
  log_line(log_weight weight, std::string_view part, std::string_view event)
      : weight_(weight), text_(Concat("part=", part, " event=", event)) {}

  log_line& Add(std::string_view key, std::string_view value);
  log_line& Add(std::string_view key, const char* value) {
    const std::string_view view = value;
    return Add(key, view);
  }
  log_line& Add(std::string_view key, const std::string& value) {
    const std::string_view view = value;
    return Add(key, view);
  }
  log_line& Add(std::string_view key, bool value) { return Add(key, value ? "yes" : "no"); }
  template <std::integral Number>
  log_line& Add(std::string_view key, Number value) {
    text_ += Concat(" ", key, "=", value);
    return *this;
  }
  /// In milliseconds with one decimal; the key should end in "_ms".
  log_line& Add(std::string_view key, duration value);

  log_weight weight() const { return weight_; }
  const std::string& text() const { return text_; }

 private:
  log_weight weight_;
  std::string text_;
};

}  // namespace bronzeroute
