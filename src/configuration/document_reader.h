#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace bronzeroute {

struct document;

/// Reads the bytes of a document; null if they are no valid one.
using document_reader = std::function<std::shared_ptr<const document>(std::string_view bytes)>;

/// The reader of the product's own format, TOML.
std::shared_ptr<const document> ReadTomlDocument(std::string_view bytes);

}  // namespace bronzeroute
