#include "src/configuration/parse_document.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "src/base/concat.h"
#include "src/configuration/toml_reader.h"

namespace bronzeroute {
namespace internal {
namespace {

constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxWarmupMs = 600'000;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxQueue = 100'000;

// Defaults of format 1. They are part of the format: a change needs a new format number.
constexpr std::int64_t kDefaultBytesPerSecond = 2'000;
constexpr std::int64_t kDefaultUpstreamMsPerSecond = 20;
constexpr std::int64_t kDefaultQueuePerSlot = 4;
constexpr double kDefaultLongShare = 0.5;
constexpr double kDefaultObjective = 0.99;

constexpr auto kMethods = std::to_array<std::string_view>(
    {"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"});
constexpr auto kRootKeys =
    std::to_array<std::string_view>({"format", "name", "measuring", "service"});
constexpr auto kMeasuringKeys =
    std::to_array<std::string_view>({"bytes_per_second", "upstream_ms_per_second"});
constexpr auto kServiceKeys = std::to_array<std::string_view>(
    {"name", "deadline_ms", "slots", "connections", "queue_limit", "long_share", "warmup_ms",
     "regions", "objective", "objective_latency_ms", "route"});
constexpr auto kRouteKeys =
    std::to_array<std::string_view>({"method", "prefix", "class", "protected", "deadline_ms"});

std::chrono::milliseconds Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

// Reads one document and collects its errors. If there is any, the document is discarded.
class toml_document_reader : public toml_reader {
 public:
  using toml_reader::toml_reader;

  document Read(const toml::table& root) {
    CheckKeys(root, "", kRootKeys);
    Integer(root, "", "format", kDocumentFormat, kDocumentFormat, std::nullopt);
    document result;
    result.name = Name(root, "", "name");
    const toml::table* measuring = Table(root, "measuring");
    static const toml::table kEmpty;
    if (measuring == nullptr) measuring = &kEmpty;
    CheckKeys(*measuring, "measuring.", kMeasuringKeys);
    result.measuring_bytes_per_second = static_cast<std::uint32_t>(Integer(
        *measuring, "measuring.", "bytes_per_second", 100, 1'000'000, kDefaultBytesPerSecond));
    result.measuring_upstream_ms_per_second =
        static_cast<std::uint32_t>(Integer(*measuring, "measuring.", "upstream_ms_per_second",
                                           0, 1'000, kDefaultUpstreamMsPerSecond));
    ForEachTable(root, "", "service", true,
                 [&](const toml::table& table, const std::string& path) {
                   result.services.push_back(ReadService(table, path));
                 });
    return result;
  }

 private:
  service_spec ReadService(const toml::table& table, const std::string& path) {
    CheckKeys(table, path, kServiceKeys);
    service_spec service;
    service.name = Name(table, path, "name");
    if (!service.name.empty() && !service_names_.insert(service.name).second) {
      AddAt(*table.get("name"), path + "name", Concat("\"", service.name, "\" again"),
            "a name that no other service has");
    }
    service.time_limit =
        Milliseconds(Integer(table, path, "deadline_ms", 1, kMaxDeadlineMs, std::nullopt));
    const std::int64_t slots = Integer(table, path, "slots", 1, kMaxSlots, std::nullopt);
    const std::int64_t connections =
        Integer(table, path, "connections", 1, kMaxConnections, std::nullopt);
    if (connections < slots && table.contains("connections")) {
      AddAt(*table.get("connections"), path + "connections", Concat(connections),
            Concat("at least the number of slots (", slots, ")"));
    }
    service.max_slots = static_cast<std::uint32_t>(slots);
    service.max_connections = static_cast<std::uint32_t>(connections);
    service.queue_limit = static_cast<std::uint32_t>(
        Integer(table, path, "queue_limit", 0, kMaxQueue, kDefaultQueuePerSlot * slots));
    service.long_share = Fraction(table, path, "long_share", 0, 1, kDefaultLongShare);
    service.warmup = Milliseconds(Integer(table, path, "warmup_ms", 0, kMaxWarmupMs, 0));
    // An objective of 1 would leave no error budget, so that no burn rate could be computed.
    service.objective = Fraction(table, path, "objective", 0.5, 0.99999, kDefaultObjective);
    service.objective_latency = Milliseconds(Integer(
        table, path, "objective_latency_ms", 1, kMaxDeadlineMs,
        std::chrono::duration_cast<std::chrono::milliseconds>(service.time_limit).count()));
    ReadRegions(table, path, service);
    std::set<std::pair<std::string, std::string>> seen;
    ForEachTable(
        table, path, "route", false, [&](const toml::table& row, const std::string& row_path) {
          route_spec route = ReadRoute(row, row_path, service);
          if (!route.prefix.empty() && !seen.insert({route.method, route.prefix}).second) {
            AddAt(row, row_path + "prefix",
                  Concat("\"", route.method, " ", route.prefix, "\" again"),
                  "one route for each method and prefix");
          }
          service.routes.push_back(std::move(route));
        });
    return service;
  }

  void ReadRegions(const toml::table& table, const std::string& path, service_spec& service) {
    constexpr std::string_view kAllowed = "an array of one or more distinct region names";
    const toml::node* node = table.get("regions");
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr || array->empty()) {
      AddAt(*node, path + "regions", array == nullptr ? Describe(*node) : "an empty array",
            std::string(kAllowed));
      return;
    }
    for (const toml::node& element : *array) {
      const auto* text = element.as_string();
      if (text == nullptr || !IsName(text->get()) ||
          std::ranges::find(service.regions, text->get()) != service.regions.end()) {
        AddAt(element, path + "regions", Describe(element),
              Concat(kAllowed, " (", kNameRule, ")"));
        continue;
      }
      service.regions.push_back(text->get());
    }
  }

  route_spec ReadRoute(const toml::table& table, const std::string& path,
                       const service_spec& service) {
    CheckKeys(table, path, kRouteKeys);
    route_spec route;
    const std::string methods = Concat("one of ", Join(kMethods));
    if (table.contains("method")) route.method = Text(table, path, "method", true, methods);
    if (!route.method.empty() && std::ranges::find(kMethods, route.method) == kMethods.end()) {
      AddAt(*table.get("method"), path + "method", Describe(*table.get("method")), methods);
    }
    ReadPrefix(table, path, service, route);
    constexpr std::string_view kClasses = "\"short\" or \"long\"";
    const std::string work_class = Text(table, path, "class", false, kClasses);
    if (const toml::node* node = table.get("class");
        node != nullptr && node->is_string() && work_class != "short" && work_class != "long") {
      AddAt(*node, path + "class", Describe(*node), std::string(kClasses));
    }
    route.is_long = work_class == "long";
    route.is_protected = Flag(table, path, "protected");
    route.time_limit = Milliseconds(Integer(
        table, path, "deadline_ms", 1, kMaxDeadlineMs,
        std::chrono::duration_cast<std::chrono::milliseconds>(service.time_limit).count()));
    return route;
  }

  void ReadPrefix(const toml::table& table, const std::string& path,
                  const service_spec& service, route_spec& route) {
    const std::string base = Concat("/", service.name);
    const std::string allowed =
        Concat("\"", base, "\" or a path below it, of letters, digits and -._~/ without ",
               "empty, \".\" or \"..\" segments");
    route.prefix = Text(table, path, "prefix", true, allowed);
    const toml::node* node = table.get("prefix");
    if (node == nullptr || !node->is_string()) return;
    const std::string_view prefix = route.prefix;
    const bool below = prefix == base || prefix.starts_with(base + "/");
    // Request paths are normalized before the comparison, so a prefix that is not in normal
    // form would never match.
    const bool plain = std::ranges::all_of(prefix, [](char c) {
      return absl::ascii_isalnum(c) || std::string_view("-._~/").find(c) != std::string::npos;
    });
    const bool normal = prefix.find("//") == std::string_view::npos &&
                        Concat(prefix, "/").find("/./") == std::string::npos &&
                        Concat(prefix, "/").find("/../") == std::string::npos;
    if (!below || !plain || !normal) {
      AddAt(*node, path + "prefix", Describe(*node), allowed);
    }
  }

  std::set<std::string> service_names_;
};

}  // namespace
}  // namespace internal

parse_result ParseDocument(std::string_view text, std::string_view file) {
  internal::toml_document_reader reader(file);
  parse_result result;
  if (text.size() > kMaxDocumentBytes) {
    reader.Add(1, "", Concat(text.size(), " bytes"),
               Concat("at most ", kMaxDocumentBytes, " bytes"));
    result.errors = reader.TakeErrors();
    return result;
  }
  internal::ReadToml(reader, text, file, result);
  return result;
}

}  // namespace bronzeroute
