#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/base/call_id.h"

namespace bronzeroute {

/// The value of the `Bronzeroute-Call` header: entry, incarnation and sequence in hexadecimal,
/// joined by hyphens.
std::string FormatCallId(const call_id& id);

/// Reads the text of `FormatCallId`.
std::optional<call_id> ParseCallId(std::string_view text);

}  // namespace bronzeroute
