#include "standins/platform/configuration_author.h"

#include <array>
#include <utility>

namespace bronzeroute::standin {
namespace {

using nlohmann::json;

constexpr int kMaxStep = 5;
constexpr int kFullWeight = 100;
constexpr std::size_t kMaxAdded = 6;

double Seconds(milliseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

const authored_route* authored_version::Find(std::string_view host,
                                             std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const authored_route* best = nullptr;
  std::size_t best_size = 0;
  for (const auto& [place, route] : routes) {
    if (place.host == host && path.starts_with(place.prefix) &&
        place.prefix.size() > best_size) {
      best = &route;
      best_size = place.prefix.size();
    }
  }
  return best;
}

configuration_author::configuration_author(const site_shape& site, std::uint64_t seed)
    : site_(site), random_(seed) {
  for (const service_shape& service : site_.services) {
    service_names_[service.name] = Name(4) + std::to_string(10 + Pick(90)) + "d";
  }
  for (const class_shape& each : site_.classes) places_[each.name] = NewPlace();
}

const std::string& configuration_author::ServiceName(std::string_view name) const {
  return service_names_.find(name)->second;
}

const route_place& configuration_author::PlaceOf(std::string_view request_class) const {
  return places_.find(request_class)->second;
}

std::string configuration_author::Name(int letters) {
  constexpr std::string_view kConsonants = "bcdfghjklmnprstvwxyz";
  constexpr std::string_view kVowels = "aeiou";
  std::string name;
  for (int i = 0; i < letters; ++i) {
    const std::string_view from = i % 2 == 0 ? kConsonants : kVowels;
    name += from[static_cast<std::size_t>(Pick(static_cast<int>(from.size())))];
  }
  return name;
}

route_place configuration_author::NewPlace() {
  std::string prefix = "/" + Name(4) + std::to_string(Pick(1000)) + "/";
  if (Pick(2) == 0) prefix += Name(4) + std::to_string(Pick(1000)) + "/";
  return {Name(4) + std::to_string(Pick(100)) + ".example", std::move(prefix)};
}

authored_route configuration_author::RouteOf(const class_shape& request_class) const {
  return {.request_class = request_class.name,
          .targets = {{ServiceName(request_class.service), kFullWeight}},
          .limit = request_class.route_limit};
}

authored_version configuration_author::First() {
  authored_version version;
  version.number = 1 + Pick(kMaxStep);
  for (const class_shape& each : site_.classes) {
    version.routes[PlaceOf(each.name)] = RouteOf(each);
  }
  base_ = version.number;
  last_ = version;
  last_change_ = "first";
  return version;
}

authored_version configuration_author::Next() {
  authored_version version = *last_;
  base_ = version.number;
  version.number += 1 + Pick(kMaxStep);
  Change(version);
  last_ = version;
  return version;
}

void configuration_author::Change(authored_version& version) {
  using change = bool (configuration_author::*)(authored_version&);
  // Moves are the most frequent change, since only they show an old version at an upstream.
  constexpr std::array<std::pair<change, const char*>, 8> kChanges = {
      {{&configuration_author::Move, "move"},
       {&configuration_author::Move, "move"},
       {&configuration_author::Move, "move"},
       {&configuration_author::Split, "split"},
       {&configuration_author::Limit, "limit"},
       {&configuration_author::Add, "add"},
       {&configuration_author::Add, "add"},
       {&configuration_author::Drop, "drop"}}};
  for (;;) {
    const auto& [apply, name] = kChanges[static_cast<std::size_t>(Pick(kChanges.size()))];
    if (!(this->*apply)(version)) continue;
    last_change_ = name;
    return;
  }
}

const class_shape* configuration_author::PickMovable() {
  std::vector<const class_shape*> movable;
  for (const class_shape& each : site_.classes) {
    if (!each.also.empty()) movable.push_back(&each);
  }
  return movable.empty()
             ? nullptr
             : movable[static_cast<std::size_t>(Pick(static_cast<int>(movable.size())))];
}

bool configuration_author::Move(authored_version& version) {
  const class_shape* const moved = PickMovable();
  if (moved == nullptr) return false;
  authored_route& route = version.routes.at(PlaceOf(moved->name));
  std::vector<std::string> all = {ServiceName(moved->service)};
  for (const std::string& name : moved->also) all.push_back(ServiceName(name));
  const std::string next = all[static_cast<std::size_t>(Pick(static_cast<int>(all.size())))];
  if (route.targets.size() == 1 && route.targets.front().first == next) return false;
  route.targets = {{next, kFullWeight}};
  return true;
}

bool configuration_author::Split(authored_version& version) {
  const class_shape* const split = PickMovable();
  if (split == nullptr) return false;
  const int weight = 10 + Pick(81);
  version.routes.at(PlaceOf(split->name)).targets = {
      {ServiceName(split->service), weight},
      {ServiceName(split->also.front()), kFullWeight - weight}};
  return true;
}

bool configuration_author::Limit(authored_version& version) {
  const class_shape& each =
      site_.classes[static_cast<std::size_t>(Pick(static_cast<int>(site_.classes.size())))];
  authored_route& route = version.routes.at(PlaceOf(each.name));
  route.limit = route.limit == each.route_limit ? each.route_limit * 3 / 2 : each.route_limit;
  return true;
}

bool configuration_author::Add(authored_version& version) {
  if (added_.size() >= kMaxAdded) return false;
  const class_shape& like = site_.classes.front();
  added_.push_back(NewPlace());
  version.routes[added_.back()] = RouteOf(like);
  return true;
}

bool configuration_author::Drop(authored_version& version) {
  if (added_.empty()) return false;
  version.routes.erase(added_.front());
  added_.erase(added_.begin());
  return true;
}

json configuration_author::Document(const authored_version& version) const {
  json document;
  document["version"] = "r" + std::to_string(version.number);
  document["baseVersion"] = "r" + std::to_string(base_);
  document["limits"] = {{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 67108864},
                        {"headerTimeoutMs", 3000},
                        {"idleTimeoutMs", 15000}};
  document["clusters"] = json::array();
  for (const service_shape& service : site_.services) {
    document["clusters"].push_back({{"name", ServiceName(service.name)},
                                    {"healthPath", "/healthz"},
                                    {"maxConnections", service.connections},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"coldStartS", Seconds(service.cold_time)},
                                    {"coldPerS", service.cold_per_second}});
  }
  for (const account_shape& account : accounts_) {
    document["tenants"].push_back({{"name", account.name},
                                   {"apiKeys", {account.key}},
                                   {"priority", 1},
                                   {"ratePerS", account.per_second},
                                   {"burst", account.burst},
                                   {"allowedRegions", json::array()}});
  }
  std::map<std::string, json> rules;
  int number = 0;
  for (const auto& [place, route] : version.routes) {
    const class_shape& described = *site_.FindClass(route.request_class);
    json action = {{"timeoutMs", route.limit.count()},
                   {"attempts", 2},
                   {"allowedRegions", described.homes}};
    if (route.targets.size() == 1) {
      action["service"] = route.targets.front().first;
    } else {
      action["weightedClusters"] = json::array();
      for (const auto& [service, weight] : route.targets) {
        action["weightedClusters"].push_back({{"service", service}, {"weight", weight}});
      }
    }
    json& list = rules.try_emplace(place.host, json::array()).first->second;
    list.push_back({{"name", "r-" + std::to_string(++number)},
                    {"routeType", described.kind},
                    {"targetLatencyMs", described.objective.count()},
                    {"priority", described.priority},
                    {"authExempt", described.is_nested},
                    {"match", {{"pathPrefix", place.prefix}}},
                    {"action", std::move(action)}});
  }
  document["listeners"] = json::array();
  for (const auto& [host, list] : rules) {
    document["listeners"].push_back({{"host", host}, {"routeRules", list}});
  }
  return document;
}

}  // namespace bronzeroute::standin
