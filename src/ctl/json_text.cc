#include "src/ctl/json_text.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bronzeroute {
namespace {

bool IsFlat(const web::json::value& value) {
  return value.is_object() && std::ranges::none_of(value.as_object(), [](const auto& field) {
           return field.second.is_object() || field.second.is_array();
         });
}

std::string Table(const web::json::array& rows, const std::string& margin) {
  std::vector<std::string> columns;
  for (const web::json::value& row : rows) {
    for (const auto& [key, field] : row.as_object()) {
      if (std::ranges::find(columns, key) == columns.end()) columns.push_back(key);
    }
  }
  std::vector<std::vector<std::string>> lines = {columns};
  for (const web::json::value& row : rows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const std::string& key : columns) {
      line.push_back(row.has_field(key) ? ScalarText(row.at(key)) : "-");
    }
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const std::vector<std::string>& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string out;
  for (const std::vector<std::string>& line : lines) {
    std::string text = margin;
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += line[i];
      if (i + 1 < line.size()) text.append(widths[i] - line[i].size() + 2, ' ');
    }
    out += text + "\n";
  }
  return out;
}

}  // namespace

std::string ScalarText(const web::json::value& value) {
  if (!value.is_string()) return value.serialize();
  return value.as_string().empty() ? "-" : value.as_string();
}

std::string JsonText(const web::json::value& value, int indent) {
  const std::string margin(static_cast<std::size_t>(indent), ' ');
  if (value.is_object()) {
    std::string out;
    for (const auto& [key, field] : value.as_object()) {
      const bool nested = (field.is_object() || field.is_array()) && field.size() > 0;
      out += margin + key +
             (nested ? ":\n" + JsonText(field, indent + 2) : ": " + ScalarText(field) + "\n");
    }
    return out;
  }
  if (!value.is_array() || value.size() == 0) return margin + ScalarText(value) + "\n";
  const web::json::array& rows = value.as_array();
  if (std::ranges::all_of(rows, IsFlat)) return Table(rows, margin);
  std::string out;
  for (const web::json::value& row : rows) {
    if (row.is_object()) {
      out += margin + "-\n" + JsonText(row, indent + 2);
    } else {
      out += JsonText(row, indent);
    }
  }
  return out;
}

}  // namespace bronzeroute
