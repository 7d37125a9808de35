#include "src/node/route_directory_adapter.h"

#include <cmath>
#include <memory>
#include <string_view>

#include "src/base/concat.h"
#include "src/calls/caller_request.h"
#include "src/configuration/configuration_system.h"
#include "src/configuration/find_route.h"

namespace bronzeroute {
namespace {

// Multiples of the golden ratio modulo 1 are spread evenly over 0 to 1, so that each target of
// a route receives its share even of a few requests.
constexpr double kGoldenRatio = 0.6180339887498949;
// Largest number of sequences kept; a document has few routes with several targets.
constexpr std::size_t kMaxPositions = 1024;

std::string_view ServiceOfPath(std::string_view path) {
  if (path.starts_with('/')) path.remove_prefix(1);
  return path.substr(0, path.find_first_of("/?"));
}

// Sets the account of `request` in `decision`. Returns kNone, or kUnknownCredential or
// kUnservableAccount if the request needs an account and has none.
error_kind FindAccount(const document& current, const caller_request& request,
                       bool needs_no_account, route_decision& decision) {
  if (!current.HasAccounts()) return error_kind::kNone;
  decision.has_accounts = true;
  const account_spec* const account =
      request.credential ? current.FindAccount(*request.credential) : nullptr;
  if (account == nullptr) {
    // A depth above 0 marks a call of work that runs at this daemon's own upstream. Such calls
    // carry no key, and callers choose the ids that the depth comes from.
    if (needs_no_account || (request.depth > 0 && !request.credential)) {
      return error_kind::kNone;
    }
    return request.credential && current.IsRefused(*request.credential)
               ? error_kind::kUnservableAccount
               : error_kind::kUnknownCredential;
  }
  decision.account = account->name;
  decision.account_priority = account->priority;
  decision.regions = decision.regions.And(account->regions);
  return error_kind::kNone;
}

}  // namespace

const std::string& route_directory_adapter::NextTarget(const host_route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  if (positions_.size() >= kMaxPositions) positions_.clear();
  const auto [found, is_new] = positions_.try_emplace(Concat(route.host, route.prefix), 0.0);
  double& position = found->second;
  if (is_new) position = std::uniform_real_distribution<double>(0, 1)(random_);
  position = std::fmod(position + kGoldenRatio, 1.0);
  double total = 0;
  for (const route_target& target : route.targets) total += target.weight;
  double rest = position * total;
  for (const route_target& target : route.targets) {
    rest -= target.weight;
    if (rest < 0) return target.service;
  }
  return route.targets.back().service;
}

region_limit route_directory_adapter::RegionsOf(std::uint64_t route_id,
                                                std::string_view account) const {
  const std::shared_ptr<const document> current = configuration_.current();
  if (current == nullptr) return {};
  region_limit regions;
  if (const host_route* const route = current->FindRouteById(route_id)) {
    regions = route->regions;
  }
  if (account.empty()) return regions;
  const account_spec* const spec = current->FindAccountByName(account);
  return spec == nullptr ? regions : regions.And(spec->regions);
}

route_decision route_directory_adapter::Find(const caller_request& request) {
  route_decision decision;
  const std::shared_ptr<const document> current = configuration_.current();
  if (current == nullptr) {
    decision.error = error_kind::kNotReady;
    return decision;
  }
  decision.config_version = configuration_.version();
  if (current->IsRoutedByHost()) {
    const host_route* const route = current->FindHostRoute(request.host, request.path);
    if (route == nullptr) {
      decision.error = error_kind::kUnknownRoute;
      return decision;
    }
    decision.regions = route->regions;
    decision.error = FindAccount(*current, request, route->needs_no_account, decision);
    if (decision.error != error_kind::kNone) return decision;
    decision.service = NextTarget(*route);
    if (decision.service.empty()) {
      decision.error = error_kind::kUnservableRoute;
      return decision;
    }
    decision.is_protected = route->is_protected;
    decision.is_long = route->is_long;
    decision.is_marked_short = !route->is_long;
    decision.time_limit = route->time_limit;
    decision.limits_caller = true;
    decision.objective_latency = route->objective_latency;
    decision.max_attempts = route->max_attempts;
    decision.priority = route->priority;
    decision.route_id = route->id;
    return decision;
  }
  decision.service = ServiceOfPath(request.path);
  const service_spec* spec = current->FindService(decision.service);
  if (spec == nullptr) {
    decision.error = error_kind::kUnknownService;
    return decision;
  }
  decision.error = FindAccount(*current, request, false, decision);
  if (decision.error != error_kind::kNone) {
    decision.service.clear();
    return decision;
  }
  const route_spec route = FindRoute(*spec, request.method, request.path);
  decision.is_protected = route.is_protected;
  decision.is_long = route.is_long;
  decision.is_marked_short =
      !route.is_long && MatchRoute(spec->routes, request.method, request.path) != nullptr;
  decision.time_limit = route.time_limit;
  return decision;
}

bool route_directory_adapter::IsRepeatable(std::string_view method, std::string_view host,
                                           std::string_view path) const {
  const std::shared_ptr<const document> current = configuration_.current();
  if (current == nullptr) return false;
  if (current->IsRoutedByHost()) {
    const host_route* const route = current->FindHostRoute(host, path);
    return route != nullptr && !route->is_protected;
  }
  const service_spec* const spec = current->FindService(ServiceOfPath(path));
  return spec != nullptr && !FindRoute(*spec, method, path).is_protected;
}

}  // namespace bronzeroute
