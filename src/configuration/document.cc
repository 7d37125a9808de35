#include "src/configuration/document.h"

#include <algorithm>
#include <string>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/base/concat.h"

namespace bronzeroute {

const service_spec* document::FindService(std::string_view service_name) const {
  const auto found = std::ranges::find(services, service_name, &service_spec::name);
  return found == services.end() ? nullptr : &*found;
}

void document::IndexRoutes() {
  by_route_id_.clear();
  for (std::size_t i = 0; i < host_routes.size(); ++i) {
    host_route& route = host_routes[i];
    const std::string name = Concat(route.host, route.prefix);
    route.id = std::max<std::uint64_t>(1, XXH64(name.data(), name.size(), 0));
    // As in `route_index`, the first of two routes with the same host and prefix applies.
    by_route_id_.emplace(route.id, i);
  }
  index_ = route_index(host_routes);
}

const host_route* document::FindHostRoute(std::string_view host, std::string_view path) const {
  const auto position = index_.Find(host, path);
  return position ? &host_routes[*position] : nullptr;
}

const host_route* document::FindRouteById(std::uint64_t id) const {
  const auto found = by_route_id_.find(id);
  return found == by_route_id_.end() ? nullptr : &host_routes[found->second];
}

const account_spec* document::FindAccount(const credential_digest& credential) const {
  const auto found = by_credential_.find(credential);
  const bool is_held = found != by_credential_.end() && found->second != kNoAccount;
  return is_held ? &accounts[found->second] : nullptr;
}

bool document::IsRefused(const credential_digest& credential) const {
  const auto found = by_credential_.find(credential);
  return found != by_credential_.end() && found->second == kNoAccount;
}

const account_spec* document::FindAccountByName(std::string_view account_name) const {
  const auto found = by_name_.find(std::string(account_name));
  return found == by_name_.end() ? nullptr : &accounts[found->second];
}

bool document::IndexAccounts() {
  absl::flat_hash_map<credential_digest, std::size_t> by_credential;
  absl::flat_hash_map<std::string, std::size_t> by_name;
  for (const credential_digest& refused : refused_credentials) {
    by_credential.emplace(refused, kNoAccount);
  }
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    if (!by_name.emplace(accounts[i].name, i).second) return false;
    for (const credential_digest& credential : accounts[i].credentials) {
      const auto [holder, is_new] = by_credential.emplace(credential, i);
      if (!is_new && holder->second != i) return false;
    }
  }
  by_credential_ = std::move(by_credential);
  by_name_ = std::move(by_name);
  return true;
}

}  // namespace bronzeroute
