#include "standins/platform/site_shape.h"

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace bronzeroute::standin {
namespace {

// Bound of an evacuation where the site file has none.
constexpr milliseconds kDefaultEvacuation{5000};

/// A table of the file with its place, for errors.
class site_table {
 public:
  site_table(const toml::table& table, std::string file, std::string place)
      : table_(&table), file_(std::move(file)), place_(std::move(place)) {}

  std::string Text(std::string_view key) const {
    const auto value = (*table_)[key].value<std::string>();
    if (!value || value->empty()) Reject(key, "a text that is not empty");
    return *value;
  }
  std::string TextOr(std::string_view key, const std::string& fallback) const {
    return table_->contains(key) ? Text(key) : fallback;
  }
  /// The texts of a list; empty without one.
  std::vector<std::string> Texts(std::string_view key) const {
    std::vector<std::string> result;
    const toml::array* const found = (*table_)[key].as_array();
    if (found == nullptr) return result;
    for (const toml::node& text : *found) result.push_back(text.value_or(std::string()));
    return result;
  }
  double Number(std::string_view key) const {
    const auto value = (*table_)[key].value<double>();
    if (!value || *value < 0) Reject(key, "a number from 0 on");
    return *value;
  }
  double NumberOr(std::string_view key, double fallback) const {
    return table_->contains(key) ? Number(key) : fallback;
  }
  int Whole(std::string_view key) const { return static_cast<int>(Number(key)); }
  milliseconds Time(std::string_view key) const {
    return milliseconds(static_cast<std::int64_t>(Number(key)));
  }
  site_table Table(std::string_view key) const {
    const toml::table* const found = (*table_)[key].as_table();
    if (found == nullptr) Reject(key, "a table");
    return {*found, file_, Place(key)};
  }
  std::vector<site_table> Tables(std::string_view key) const {
    const toml::array* const found = (*table_)[key].as_array();
    if (found == nullptr || found->empty()) Reject(key, "a list of tables, not empty");
    std::vector<site_table> result;
    for (std::size_t i = 0; i < found->size(); ++i) {
      const std::string place = Place(key) + "[" + std::to_string(i) + "]";
      const toml::table* const row = found->get(i)->as_table();
      if (row == nullptr) throw std::runtime_error(file_ + ": " + place + ": must be a table");
      result.emplace_back(*row, file_, place);
    }
    return result;
  }
  bool Has(std::string_view key) const { return table_->contains(key); }
  bool IsTrue(std::string_view key) const { return (*table_)[key].value_or(false); }
  const toml::table& table() const { return *table_; }

  [[noreturn]] void Reject(std::string_view key, std::string_view allowed) const {
    std::ostringstream found;
    if (const toml::node* const node = table_->get(key)) {
      found << "found " << toml::node_view<const toml::node>(*node) << " in line "
            << node->source().begin.line;
    } else {
      found << "missing";
    }
    throw std::runtime_error(file_ + ": " + Place(key) + ": " + found.str() + "; expected " +
                             std::string(allowed));
  }

 private:
  std::string Place(std::string_view key) const {
    return place_.empty() ? std::string(key) : place_ + "." + std::string(key);
  }

  const toml::table* table_;
  std::string file_;
  std::string place_;
};

class_shape Class(const site_table& from) {
  class_shape result;
  result.name = from.Text("name");
  result.service = from.Text("service");
  result.also = from.Texts("also");
  result.kind = from.Text("kind");
  result.method = from.TextOr("method", "GET");
  result.is_nested = from.IsTrue("inner");
  result.reuses_connections = from.TextOr("habit", "pool") == "pool";
  result.objective = from.Time("aim_ms");
  result.deadline = from.Time("deadline_ms");
  result.route_limit = from.Has("timeout_ms") ? from.Time("timeout_ms") : result.deadline;
  result.work_ms = from.Table("work_ms").Number("mean");
  result.request_bytes = from.Has("req_bytes") ? from.Table("req_bytes").Number("mean") : 0;
  result.response_bytes = from.Has("resp_bytes") ? from.Table("resp_bytes").Number("mean") : 0;
  result.priority = static_cast<int>(from.NumberOr("priority", 0));
  result.homes = from.Texts("homes");
  if (from.Has("calls")) {
    for (const site_table& call : from.Tables("calls")) {
      result.calls.push_back(
          {call.Text("class"), call.Whole("times"), call.NumberOr("share", 1)});
    }
  }
  return result;
}

traffic_shape Traffic(const site_table& from) {
  traffic_shape result;
  result.zone = from.Text("zone");
  result.per_second = from.Number("per_s");
  const site_table mix = from.Table("mix");
  for (const auto& [key, node] : mix.table()) {
    const std::string name(key.str());
    result.mix[name] = mix.Number(name);
  }
  return result;
}

}  // namespace

int site_shape::MachineCount() const {
  int count = 0;
  for (const machine_shape& each : machines) count += each.count;
  return count;
}

const service_shape* site_shape::FindService(std::string_view name) const {
  const auto found = std::ranges::find(services, name, &service_shape::name);
  return found == services.end() ? nullptr : &*found;
}

const class_shape* site_shape::FindClass(std::string_view name) const {
  const auto found = std::ranges::find(classes, name, &class_shape::name);
  return found == classes.end() ? nullptr : &*found;
}

site_shape ReadSite(const std::string& file) {
  toml::table root;
  try {
    root = toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << file << ": line " << error.source().begin.line << ": " << error.description()
         << "; expected a TOML file";
    throw std::runtime_error(text.str());
  }
  const site_table site(root, file, "");
  site_shape result;
  for (const site_table& row : site.Tables("zones")) {
    result.zones.push_back({row.Text("name"), row.Text("region")});
  }
  for (const site_table& row : site.Tables("services")) {
    result.services.push_back(
        {row.Text("name"), row.Whole("slots"), row.Whole("queue"), row.Whole("conn_cap"),
         row.NumberOr("cold_per_s", 0),
         milliseconds(static_cast<std::int64_t>(row.NumberOr("cold_s", 0) * 1000))});
  }
  for (const site_table& row : site.Tables("machines")) {
    result.machines.push_back({row.Text("zone"), row.Text("app"), row.Whole("count")});
    if (result.FindService(result.machines.back().service) == nullptr) {
      row.Reject("app", "a name under services");
    }
  }
  for (const site_table& row : site.Tables("classes")) result.classes.push_back(Class(row));
  for (const site_table& row : site.Tables("traffic")) result.traffic.push_back(Traffic(row));
  const site_table bounds = site.Table("bounds");
  result.bounds.configuration = bounds.Time("config_ms");
  result.bounds.stability = bounds.Time("touch_ms");
  result.bounds.drain = bounds.Time("drain_ms");
  result.bounds.evacuation =
      bounds.Has("evac_ms") ? bounds.Time("evac_ms") : kDefaultEvacuation;
  result.bounds.grace =
      milliseconds(static_cast<std::int64_t>(bounds.Number("grace_s") * 1000));
  return result;
}

}  // namespace bronzeroute::standin
