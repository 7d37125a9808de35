#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/concat.h"
#include "src/configuration/document_error.h"

namespace bronzeroute::internal {

/// Syntax of the names of documents, services and regions, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 63 characters of a-z, 0-9 and '-', beginning with a letter";

/// True if `text` conforms to `kNameRule`.
bool IsName(std::string_view text);
/// `names` separated by commas.
std::string Join(std::span<const std::string_view> names);
/// The value of `node` as shown in error messages.
std::string Describe(const toml::node& node);

/// Reads typed values from one TOML file and collects all errors. After an error the readers
/// return placeholder values; the result is then discarded.
class toml_reader {
 public:
  explicit toml_reader(std::string_view file) : file_(file) {}

  void Add(std::uint32_t line, std::string key, std::string found, std::string allowed);
  /// Returns all errors in line order.
  std::vector<document_error> TakeErrors();

 protected:
  void AddAt(const toml::node& node, std::string key, std::string found, std::string allowed);
  /// Adds an error for every key of `table` that is not among `allowed`.
  void CheckKeys(const toml::table& table, std::string_view path,
                 std::span<const std::string_view> allowed);
  /// The node at `key`, or null if it is missing. Adds an error if a required node is missing.
  const toml::node* Find(const toml::table& table, std::string_view path, std::string_view key,
                         bool required, std::string_view allowed);
  /// An integer from `low` to `high`; required if there is no `fallback`.
  std::int64_t Integer(const toml::table& table, std::string_view path, std::string_view key,
                       std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback);
  /// A number from `low` to `high`, or `fallback` if it is missing.
  double Fraction(const toml::table& table, std::string_view path, std::string_view key,
                  double low, double high, double fallback);
  std::string Text(const toml::table& table, std::string_view path, std::string_view key,
                   bool required, std::string_view allowed);
  bool Flag(const toml::table& table, std::string_view path, std::string_view key);
  /// A required string that conforms to `kNameRule`.
  std::string Name(const toml::table& table, std::string_view path, std::string_view key);
  /// The table at `key`, or null if it is missing.
  const toml::table* Table(const toml::table& table, std::string_view key);

  /// Calls `visit(table, path)` for each table of the array at `key`.
  template <typename Visitor>
  void ForEachTable(const toml::table& table, std::string_view path, std::string_view key,
                    bool required, const Visitor& visit) {
    const std::string allowed =
        Concat("one or more [[", path.empty() ? "" : "service.", key, "]] tables");
    const toml::node* node = Find(table, path, key, required, allowed);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr || (required && array->empty())) {
      AddAt(*node, Concat(path, key), array == nullptr ? Describe(*node) : "nothing", allowed);
      return;
    }
    std::size_t index = 0;
    for (const toml::node& element : *array) {
      const std::string name = Concat(path, key, "[", index++, "]");
      if (const toml::table* row = element.as_table()) {
        visit(*row, Concat(name, "."));
      } else {
        AddAt(element, name, Describe(element), "a table");
      }
    }
  }

 private:
  std::string file_;
  std::vector<document_error> errors_;
};

/// Parses `text` with `reader` into `result`, which has a `value` and `errors`. With any error
/// there is no value.
template <typename Reader, typename Result>
void ReadToml(Reader& reader, std::string_view text, std::string_view file, Result& result) {
  try {
    result.value = reader.Read(toml::parse(text, file));
  } catch (const toml::parse_error& error) {
    reader.Add(error.source().begin.line, "", std::string(error.description()),
               "TOML 1.0 syntax");
  }
  result.errors = reader.TakeErrors();
  if (!result.errors.empty()) result.value.reset();
}

}  // namespace bronzeroute::internal
