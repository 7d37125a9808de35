#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/base/call_id.h"

namespace bronzeroute {

/// The value of the `Bronzeroute-Call` header: "<entry>-<incarnation>-<sequence>", numbers in
/// hexadecimal.
std::string FormatCallId(const call_id& id);
/// Nothing if `text` is not of that form.
std::optional<call_id> ParseCallId(std::string_view text);

}  // namespace bronzeroute
