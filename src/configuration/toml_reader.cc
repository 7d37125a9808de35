#include "src/configuration/toml_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

namespace bronzeroute::internal {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxQuoted = 80;

std::uint32_t LineOf(const toml::node& node) {
  return std::max<std::uint32_t>(1, node.source().begin.line);
}

// Quotes and escapes a part of the file, shortened so that an error fits on one line.
std::string Quote(std::string_view text) {
  const bool is_truncated = text.size() > kMaxQuoted;
  return Concat("\"", absl::Utf8SafeCEscape(std::string(text.substr(0, kMaxQuoted))),
                is_truncated ? "...\"" : "\"");
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && absl::ascii_islower(text[0]) &&
         std::ranges::all_of(text, [](char c) {
           return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
         });
}

std::string Join(std::span<const std::string_view> names) {
  std::string joined;
  for (const std::string_view name : names) joined += Concat(joined.empty() ? "" : ", ", name);
  return joined;
}

std::string Describe(const toml::node& node) {
  if (const auto* text = node.as_string()) return Quote(text->get());
  if (const auto* number = node.as_integer()) return Concat(number->get());
  if (const auto* number = node.as_floating_point()) return Concat(number->get());
  if (const auto* flag = node.as_boolean()) return flag->get() ? "true" : "false";
  if (node.is_table()) return "a table";
  if (node.is_array()) return "an array";
  return "a date or time";
}

void toml_reader::Add(std::uint32_t line, std::string key, std::string found,
                      std::string allowed) {
  errors_.push_back({file_, line, std::move(key), std::move(found), std::move(allowed)});
}

std::vector<document_error> toml_reader::TakeErrors() {
  std::ranges::stable_sort(errors_, {}, &document_error::line);
  return std::move(errors_);
}

void toml_reader::AddAt(const toml::node& node, std::string key, std::string found,
                        std::string allowed) {
  Add(LineOf(node), std::move(key), std::move(found), std::move(allowed));
}

void toml_reader::CheckKeys(const toml::table& table, std::string_view path,
                            std::span<const std::string_view> allowed) {
  for (const auto& [key, value] : table) {
    if (std::ranges::find(allowed, key.str()) == allowed.end()) {
      AddAt(value, Concat(path, key.str().substr(0, kMaxQuoted)), "an unknown key",
            Concat("one of ", Join(allowed)));
    }
  }
}

const toml::node* toml_reader::Find(const toml::table& table, std::string_view path,
                                    std::string_view key, bool required,
                                    std::string_view allowed) {
  const toml::node* node = table.get(key);
  if (node == nullptr && required) {
    AddAt(table, Concat(path, key), "nothing", std::string(allowed));
  }
  return node;
}

std::int64_t toml_reader::Integer(const toml::table& table, std::string_view path,
                                  std::string_view key, std::int64_t low, std::int64_t high,
                                  std::optional<std::int64_t> fallback) {
  const std::string allowed =
      low == high ? Concat("the integer ", low) : Concat("an integer from ", low, " to ", high);
  const toml::node* node = Find(table, path, key, !fallback, allowed);
  if (node == nullptr) return fallback.value_or(low);
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < low || number->get() > high) {
    AddAt(*node, Concat(path, key), Describe(*node), allowed);
    return low;
  }
  return number->get();
}

double toml_reader::Fraction(const toml::table& table, std::string_view path,
                             std::string_view key, double low, double high, double fallback) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return fallback;
  const std::optional<double> number = node->is_number() ? node->value<double>() : std::nullopt;
  // This form of the comparison rejects NaN.
  if (!number || !(*number >= low && *number <= high)) {
    AddAt(*node, Concat(path, key), Describe(*node),
          Concat("a number from ", low, " to ", high));
    return fallback;
  }
  return *number;
}

std::string toml_reader::Text(const toml::table& table, std::string_view path,
                              std::string_view key, bool required, std::string_view allowed) {
  const toml::node* node = Find(table, path, key, required, allowed);
  if (node == nullptr) return {};
  const auto* text = node->as_string();
  if (text == nullptr) {
    AddAt(*node, Concat(path, key), Describe(*node), std::string(allowed));
    return {};
  }
  return text->get();
}

bool toml_reader::Flag(const toml::table& table, std::string_view path, std::string_view key) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return false;
  const auto* flag = node->as_boolean();
  if (flag == nullptr) {
    AddAt(*node, Concat(path, key), Describe(*node), "true or false");
    return false;
  }
  return flag->get();
}

std::string toml_reader::Name(const toml::table& table, std::string_view path,
                              std::string_view key) {
  std::string name = Text(table, path, key, true, kNameRule);
  const toml::node* node = table.get(key);
  if (node != nullptr && node->is_string() && !IsName(name)) {
    AddAt(*node, Concat(path, key), Describe(*node), std::string(kNameRule));
  }
  return name;
}

const toml::table* toml_reader::Table(const toml::table& table, std::string_view key) {
  const toml::node* node = table.get(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) AddAt(*node, std::string(key), Describe(*node), "a table");
  return node->as_table();
}

}  // namespace bronzeroute::internal
