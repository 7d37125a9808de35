#pragma once

#include <string_view>

namespace bronzeroute {

/// True if `status` is one that a final response can have: 200 to 599.
bool IsFinalStatus(int status);

/// True if `name` and `value` can be relayed as a header field: the name is a token, and the
/// value holds no control byte but tab.
bool IsValidField(std::string_view name, std::string_view value);

enum class head_state {
  /// More bytes are needed.
  kIncomplete,
  kComplete,
  /// The bytes cannot become a head.
  kInvalid,
};

/// Checks `received`, which begins with the head of a response. A valid head can be read in one
/// way only: a status line of HTTP/1 with a status of 100 to 599, lines of a field name, a
/// colon and a value, and an empty line. Folded lines, which are obsolete, make it invalid.
head_state CheckResponseHead(std::string_view received);

}  // namespace bronzeroute
