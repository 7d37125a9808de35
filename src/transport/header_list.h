#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeroute {

struct http_dialect;

/// Names and values of HTTP fields.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// True for a hop-by-hop field: it concerns one connection only and is never forwarded.
bool IsHopByHop(std::string_view name);

/// The end-to-end fields of `from`: hop-by-hop fields and fields named by a Connection field
/// are omitted. A Connection field cannot remove fields that every hop needs: Host,
/// Content-Length and the fields of `dialect`.
header_list EndToEndFields(const header_list& from, const http_dialect& dialect);

/// Value of the first field called `name` (case-insensitive), or null.
const std::string* FindField(const header_list& from, std::string_view name);

}  // namespace bronzeroute
