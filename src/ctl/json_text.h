#pragma once

#include <cpprest/json.h>

#include <string>

namespace bronzeroute {

/// Formats `value` for people: one "key: value" line for each scalar, nested objects indented
/// by two more columns, and arrays of flat objects as a table with one column for each key.
std::string JsonText(const web::json::value& value, int indent = 0);

/// A scalar without quotes; anything else as compact JSON.
std::string ScalarText(const web::json::value& value);

}  // namespace bronzeroute
