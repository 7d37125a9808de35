#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeroute {

/// Names and values of HTTP fields.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// True for a field that concerns one connection only and is never passed on.
bool IsHopByHop(std::string_view name);

/// The fields of `from` that are passed on: those that concern one connection only are left
/// out, also the ones that a Connection field names.
header_list EndToEndFields(const header_list& from);

/// Value of the field `name`, or null. The first one counts.
const std::string* FindField(const header_list& from, std::string_view name);

}  // namespace bronzeroute
