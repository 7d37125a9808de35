#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace bronzeroute {

struct document;

/// Parses the bytes of a document. Returns null if they are not a valid document.
using document_reader = std::function<std::shared_ptr<const document>(std::string_view bytes)>;

/// The `document_reader` for the TOML format of `ParseDocument`.
std::shared_ptr<const document> ReadTomlDocument(std::string_view bytes);

}  // namespace bronzeroute
