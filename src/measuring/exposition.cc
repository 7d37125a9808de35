#include "src/measuring/exposition.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/accounts/usage_counters.h"
#include "src/measuring/account_metrics.h"
#include "src/measuring/budget_account.h"
#include "src/measuring/service_metrics.h"

namespace bronzeroute {
namespace {

using std::string_view;

void AppendNumber(std::string& out, double value) {
  if (std::isinf(value)) {
    out += "+Inf";
    return;
  }
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  out.append(text.data(), error == std::errc() ? end : text.data());
}

void AppendHeader(std::string& out, string_view name, string_view type, string_view help) {
  out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ");
  out.append(name).append(" ").append(type).append("\n");
}

/// A metric with one sample and no labels.
void AppendSingle(std::string& out, string_view name, string_view type, string_view help,
                  double value) {
  AppendHeader(out, name, type, help);
  out.append(name).append(" ");
  AppendNumber(out, value);
  out += '\n';
}

void AppendEscaped(std::string& out, string_view label) {
  for (const char c : label) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') out += '\\';
    out += c;
  }
}

struct label {
  string_view name;
  string_view value;
};

template <std::size_t Count>
void AppendSample(std::string& out, string_view metric, const std::array<label, Count>& labels,
                  double value) {
  out.append(metric);
  char separator = '{';
  for (const label& each : labels) {
    out += separator;
    out.append(each.name).append("=\"");
    AppendEscaped(out, each.value);
    out += '"';
    separator = ',';
  }
  out += "} ";
  AppendNumber(out, value);
  out += '\n';
}

double Seconds(duration value) { return static_cast<double>(value.count()) / 1e6; }

// Calls `visit` with the service name, the service, the request class and its metrics for each
// class that has requests.
template <typename Visitor>
void ForEachClass(const service_metrics& metrics, Visitor visit) {
  for (const auto& [name, row] : metrics.services()) {
    for (std::size_t i = 0; i < kRequestClasses; ++i) {
      if (row.classes[i]) visit(name, row, static_cast<request_class>(i), *row.classes[i]);
    }
  }
}

void AppendRequests(std::string& out, const service_metrics& metrics) {
  constexpr string_view kName = "bronzeroute_requests_total";
  AppendHeader(out, kName, "counter", "Requests that entered here, by how they ended.");
  ForEachClass(metrics, [&](const std::string& name, const auto&, request_class class_id,
                            const class_metrics& row) {
    for (std::size_t i = 0; i < kRequestResults; ++i) {
      AppendSample<3>(out, kName,
                      {{{"service", name},
                        {"class", RequestClassName(class_id)},
                        {"result", RequestResultName(static_cast<request_result>(i))}}},
                      static_cast<double>(row.results[i]));
    }
  });
}

void AppendLatency(std::string& out, const service_metrics& metrics, time_point now) {
  constexpr string_view kName = "bronzeroute_request_latency_seconds";
  constexpr std::array<string_view, latency_summary::kQuantiles.size()> kLabels = {
      "0.5", "0.9", "0.99", "0.999"};
  AppendHeader(out, kName, "summary", "Latency of served requests.");
  ForEachClass(metrics, [&](const std::string& name, const auto&, request_class class_id,
                            const class_metrics& row) {
    for (std::size_t i = 0; i < kLabels.size(); ++i) {
      AppendSample<3>(out, kName,
                      {{{"service", name},
                        {"class", RequestClassName(class_id)},
                        {"quantile", kLabels[i]}}},
                      Seconds(row.latency.Quantile(i, now)));
    }
    const std::array<label, 2> labels = {
        {{"service", name}, {"class", RequestClassName(class_id)}}};
    AppendSample(out, "bronzeroute_request_latency_seconds_sum", labels,
                 Seconds(row.latency.sum()));
    AppendSample(out, "bronzeroute_request_latency_seconds_count", labels,
                 static_cast<double>(row.latency.count()));
  });
}

void AppendBurn(std::string& out, const service_metrics& metrics, time_point now) {
  constexpr string_view kName = "bronzeroute_burn_rate";
  AppendHeader(out, kName, "gauge",
               "Share of requests not served in time over the share that is allowed.");
  ForEachClass(metrics, [&](const std::string& name, const service_metrics::service& service,
                            request_class class_id, const class_metrics& row) {
    AppendSample<3>(
        out, kName,
        {{{"service", name}, {"class", RequestClassName(class_id)}, {"window", "5m"}}},
        row.short_window.Rate(service.objective, now));
    AppendSample<3>(
        out, kName,
        {{{"service", name}, {"class", RequestClassName(class_id)}, {"window", "1h"}}},
        row.long_window.Rate(service.objective, now));
  });
}

void AppendObjectives(std::string& out, const service_metrics& metrics) {
  constexpr string_view kName = "bronzeroute_objective";
  AppendHeader(out, kName, "gauge", "Share of requests that must be served in time.");
  for (const auto& [name, row] : metrics.services()) {
    AppendSample<1>(out, kName, {{{"service", name}}}, row.objective);
  }
}

void AppendWindows(std::string& out, const service_metrics& metrics, time_point now) {
  constexpr string_view kName = "bronzeroute_window_requests";
  AppendHeader(out, kName, "gauge", "Requests in the burn windows, by how they ended.");
  ForEachClass(metrics, [&](const std::string& name, const auto&, request_class class_id,
                            const class_metrics& row) {
    const auto append = [&](string_view window, const burn_window::counts& results) {
      for (std::size_t i = 0; i < kRequestResults; ++i) {
        AppendSample<4>(out, kName,
                        {{{"service", name},
                          {"class", RequestClassName(class_id)},
                          {"window", window},
                          {"result", RequestResultName(static_cast<request_result>(i))}}},
                        static_cast<double>(results[i]));
      }
    };
    append("5m", row.short_window.Counts(now));
    append("1h", row.long_window.Counts(now));
  });
}

// The label holds the age in minutes, not the time: a time label would create new series every
// minute.
void AppendMinutes(std::string& out, const service_metrics& metrics, time_point now) {
  constexpr string_view kName = "bronzeroute_minute_requests";
  AppendHeader(out, kName, "gauge",
               "Requests per minute of Unix time in the last hour, zeros left out.");
  ForEachClass(metrics, [&](const std::string& name, const auto&, request_class class_id,
                            const class_metrics& row) {
    for (const burn_window::slot_counts& slot : row.long_window.Slots(now)) {
      const std::string minutes_ago = std::to_string(slot.steps_ago);
      const std::uint64_t bad = BadRequests(slot.results);
      const auto append = [&](string_view outcome, std::uint64_t value) {
        if (value == 0) return;
        AppendSample<4>(out, kName,
                        {{{"service", name},
                          {"class", RequestClassName(class_id)},
                          {"minutes_ago", minutes_ago},
                          {"outcome", outcome}}},
                        static_cast<double>(value));
      };
      append("good", AllRequests(slot.results) - bad);
      append("bad", bad);
    }
  });
}

void AppendPipelined(std::string& out, const service_metrics& metrics) {
  AppendSingle(out, "bronzeroute_pipelined_requests_total", "counter",
               "Requests passed on while an earlier one of their connection was unanswered.",
               static_cast<double>(metrics.pipelined()));
}

void AppendAccounts(std::string& out, const account_metrics& metrics) {
  constexpr string_view kName = "bronzeroute_account_requests_total";
  AppendHeader(out, kName, "counter",
               "Requests of each account that entered here, by how they ended.");
  for (const auto& [account, results] : metrics.accounts()) {
    for (std::size_t i = 0; i < kRequestResults; ++i) {
      AppendSample<2>(out, kName,
                      {{{"account", account},
                        {"result", RequestResultName(static_cast<request_result>(i))}}},
                      static_cast<double>(results[i]));
    }
  }
  AppendSingle(out, "bronzeroute_unknown_credential_total", "counter",
               "Requests refused because no account holds their key, or they had none.",
               static_cast<double>(metrics.unknown_credentials()));
}

void AppendProcess(std::string& out, const process_start& start, time_point now) {
  AppendSingle(out, "bronzeroute_process_start_time_seconds", "gauge",
               "Start of the process in Unix time.", Seconds(start.unix_time));
  AppendSingle(out, "bronzeroute_uptime_seconds", "gauge",
               "Time since the start of the process.", Seconds(now - start.started));
}

void AppendRestrictions(std::string& out, const restriction_metrics& restrictions) {
  AppendSingle(out, "bronzeroute_config_replaced_values", "gauge",
               "Values of the configuration in effect that cannot be used as written.",
               static_cast<double>(restrictions.replaced_values));
  AppendSingle(out, "bronzeroute_evacuated_zones", "gauge",
               "Availability zones that this daemon knows to be evacuated.",
               static_cast<double>(restrictions.evacuated_zones));
  AppendSingle(out, "bronzeroute_cold_rate_limit", "gauge",
               "Requests per second that the cold upstream here takes; 0 if it is warm.",
               restrictions.cold_rate_per_s);
  AppendSingle(out, "bronzeroute_cold_limit_held_total", "counter",
               "Attempts queued or refused while the cold upstream could take no request.",
               static_cast<double>(restrictions.held_by_cold_limit));
}

void AppendConfiguration(std::string& out, const configuration_counters& counters) {
  const auto append = [&out](string_view name, string_view help, std::uint64_t value) {
    AppendSingle(out, name, "counter", help, static_cast<double>(value));
  };
  append("bronzeroute_config_reads_renewed_total",
         "Waiting reads of the configuration that were given up for a new one.",
         counters.renewed_reads);
  append("bronzeroute_config_fetches_total", "Requests to peers for their configuration.",
         counters.fetches);
  append("bronzeroute_config_fetches_failed_total",
         "Requests to peers that brought no newer configuration.", counters.failed_fetches);
}

template <typename Value>
void AppendBudget(std::string& out, const budget_account& budget, string_view name,
                  string_view help, Value value) {
  constexpr std::array<distance, 3> kDistances = {distance::kSameZone, distance::kSameRegion,
                                                  distance::kOtherRegion};
  constexpr std::array<string_view, 3> kLabels = {"zone", "region", "other_region"};
  AppendHeader(out, name, "counter", help);
  for (std::size_t i = 0; i < kChargePurposes; ++i) {
    const auto purpose = static_cast<charge_purpose>(i);
    for (std::size_t d = 0; d < kDistances.size(); ++d) {
      AppendSample<2>(out, name,
                      {{{"purpose", ChargePurposeName(purpose)}, {"distance", kLabels[d]}}},
                      value(budget.Counter(purpose, kDistances[d])));
    }
  }
}

// Accounts that have series of their own, to bound their number.
constexpr std::size_t kNamedAccounts = 200;

template <typename Value>
void AppendUsageCounter(std::string& out, const usage_rows& accounts, string_view name,
                        string_view help, Value value) {
  AppendHeader(out, name, "counter", help);
  std::uint64_t others = 0;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    const std::uint64_t number = value(*accounts[i].second);
    if (i >= kNamedAccounts) {
      others += number;
      continue;
    }
    AppendSample<1>(out, name, {{{"account", accounts[i].first}}}, static_cast<double>(number));
  }
  if (accounts.size() <= kNamedAccounts) return;
  AppendSample<1>(out, name, {{{"account", "(others)"}}}, static_cast<double>(others));
}

void AppendUsage(std::string& out, const usage_rows& accounts) {
  if (accounts.empty()) return;
  AppendUsageCounter(out, accounts, "bronzeroute_usage_granted_total",
                     "Requests that entered here and got a token of their account.",
                     [](const usage_counters& row) { return row.granted; });
  AppendUsageCounter(out, accounts, "bronzeroute_usage_refused_total",
                     "Requests refused because of the usage cap of their account.",
                     [](const usage_counters& row) { return row.refused; });
  AppendUsageCounter(out, accounts, "bronzeroute_usage_lent_total",
                     "Tokens that this daemon lent, to itself included.",
                     [](const usage_counters& row) { return row.lent; });
}

}  // namespace

std::string ExpositionText(const service_metrics& metrics, const budget_account& budget,
                           time_point now, exposition_detail detail,
                           const restriction_metrics& restrictions, const usage_rows& accounts,
                           const configuration_counters& configuration) {
  std::string out;
  AppendRequests(out, metrics);
  AppendLatency(out, metrics, now);
  AppendBurn(out, metrics, now);
  AppendObjectives(out, metrics);
  AppendWindows(out, metrics, now);
  if (detail == exposition_detail::kMinutes) AppendMinutes(out, metrics, now);
  AppendPipelined(out, metrics);
  AppendAccounts(out, metrics.accounts());
  AppendProcess(out, metrics.start(), now);
  AppendRestrictions(out, restrictions);
  AppendConfiguration(out, configuration);
  AppendBudget(out, budget, "bronzeroute_measuring_bytes_total", "Bytes sent for measuring.",
               [](const budget_counter& row) { return static_cast<double>(row.bytes); });
  AppendBudget(out, budget, "bronzeroute_measuring_upstream_seconds_total",
               "Time of the upstream taken for measuring.",
               [](const budget_counter& row) { return Seconds(row.upstream_time); });
  AppendBudget(out, budget, "bronzeroute_measuring_refused_total",
               "Measurements left out because the budget was used up.",
               [](const budget_counter& row) { return static_cast<double>(row.refused); });
  AppendBudget(out, budget, "bronzeroute_measuring_forced_total",
               "Charges taken on credit so that failure detection goes on.",
               [](const budget_counter& row) { return static_cast<double>(row.forced); });
  AppendUsage(out, accounts);
  // Scrapers treat the line as a comment; in a saved file it shows that the text is complete.
  out += "# EOF\n";
  return out;
}

}  // namespace bronzeroute
