#include "src/transport/http_dialect.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <array>
#include <initializer_list>

#include "src/transport/absl_text.h"

namespace bronzeroute {
namespace {

bool Equals(std::string_view name, std::string_view known) {
  return !known.empty() && absl::EqualsIgnoreCase(AbslText(name), AbslText(known));
}

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::ranges::any_of(names,
                             [name](std::string_view known) { return Equals(name, known); });
}

}  // namespace

bool http_dialect::IsField(std::string_view name) const {
  static constexpr std::array<std::string_view, 2> kOwn = {"Bronzeroute-Try",
                                                           "Idempotency-Key"};
  return Contains(std::initializer_list<std::string_view>{request_id, seal}, name) ||
         (has_own_fields && Contains(kOwn, name)) || IsDaemonRequestField(name) ||
         IsDaemonResponseField(name);
}

bool http_dialect::IsDaemonRequestField(std::string_view name) const {
  static constexpr std::array<std::string_view, 3> kOwn = {
      "Bronzeroute-Deadline-Ms", "Bronzeroute-Depth", "Bronzeroute-Call"};
  return Contains(std::initializer_list<std::string_view>{deadline, caller_service,
                                                          expected_upstream},
                  name) ||
         (has_own_fields && Contains(kOwn, name));
}

bool http_dialect::IsAccountField(std::string_view name) const {
  return Equals(name, credential) || Equals(name, account);
}

bool http_dialect::IsDaemonResponseField(std::string_view name) const {
  static constexpr std::array<std::string_view, 4> kOwn = {
      "Bronzeroute-Execution", "Bronzeroute-Error", "Bronzeroute-Call",
      "Bronzeroute-Recorded-Status"};
  return Contains(std::initializer_list<std::string_view>{load, not_run}, name) ||
         (has_own_fields && Contains(kOwn, name));
}

}  // namespace bronzeroute
