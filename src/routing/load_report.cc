#include "src/routing/load_report.h"

#include <charconv>

namespace bronzeroute {

std::optional<load_report> ParseLoadReport(std::string_view text) {
  load_report report;
  std::uint32_t* const fields[] = {&report.running, &report.waiting, &report.slots,
                                   &report.service_time_percent};
  constexpr int kRequired = 3;
  int read = 0;
  const char* at = text.data();
  const char* const end = at + text.size();
  for (std::uint32_t* const field : fields) {
    while (at != end && *at == ' ') ++at;
    const auto [next, error] = std::from_chars(at, end, *field);
    if (error != std::errc()) return std::nullopt;
    ++read;
    at = next;
    if (at == end || *at != ',') break;
    ++at;
  }
  if (read < kRequired) return std::nullopt;
  return report;
}

}  // namespace bronzeroute
