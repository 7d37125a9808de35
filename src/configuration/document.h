#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/credential_digest.h"
#include "src/configuration/account_spec.h"
#include "src/configuration/caller_limits.h"
#include "src/configuration/host_route.h"
#include "src/configuration/route_index.h"
#include "src/configuration/service_spec.h"
#include "src/configuration/substitution.h"

namespace bronzeroute {

/// The configuration of one environment, as operators publish it.
struct document {
  std::string name;
  /// Budgets of one daemon for measuring the state of upstreams: network traffic, and work that
  /// the measurements cause at its upstream.
  std::uint32_t measuring_bytes_per_second = 0;
  std::uint32_t measuring_upstream_ms_per_second = 0;
  std::vector<service_spec> services;
  /// Routes by host and path.
  std::vector<host_route> host_routes;
  /// Requests without a route in `host_routes` are refused, even if there are none at all.
  bool needs_host_route = false;
  /// Client accounts. If there are none, requests need no key and belong to no account, unless
  /// `needs_account` is set.
  std::vector<account_spec> accounts;
  /// Requests need the key of an account, even if there are no accounts.
  bool needs_account = false;
  /// Keys that the document contains for no usable account, or for several. Their requests are
  /// refused in another way than those with an unknown key.
  std::vector<credential_digest> refused_credentials;
  caller_limits limits;
  /// Version that the document contains; -1 if it contains none. Its offset in the log is then
  /// its version.
  std::int64_t version = -1;
  /// Number of values that were replaced when the document was read, and the first of them.
  std::size_t substitutions = 0;
  std::vector<substitution> listed_substitutions;

  /// The service named `service_name`, or null.
  const service_spec* FindService(std::string_view service_name) const;
  /// The route of a request, or null. Requires `IndexRoutes`.
  const host_route* FindHostRoute(std::string_view host, std::string_view path) const;
  /// True if requests are routed by `host_routes`; otherwise the first segment of a path names
  /// its service.
  bool IsRoutedByHost() const { return needs_host_route || !host_routes.empty(); }
  /// The route with this `host_route::id`, or null. Requires `IndexRoutes`.
  const host_route* FindRouteById(std::uint64_t id) const;
  /// Computes the route ids and builds the indexes for `FindHostRoute` and `FindRouteById`.
  /// Must be called after the last change of `host_routes`.
  void IndexRoutes();
  /// True if requests need the key of an account.
  bool HasAccounts() const { return needs_account || !accounts.empty(); }
  /// True if the key with this digest is one of `refused_credentials`. Requires
  /// `IndexAccounts`.
  bool IsRefused(const credential_digest& credential) const;
  /// The account that holds the key with this digest, or null. Requires `IndexAccounts`.
  const account_spec* FindAccount(const credential_digest& credential) const;
  /// The account named `account_name`, or null. Requires `IndexAccounts`.
  const account_spec* FindAccountByName(std::string_view account_name) const;
  /// Must be called after the last change of `accounts` and `refused_credentials`. Returns
  /// false, and leaves the index as it is, if two accounts share a name or a key, or if an
  /// account holds a refused key.
  bool IndexAccounts();

 private:
  route_index index_;
  /// Positions in `host_routes`.
  absl::flat_hash_map<std::uint64_t, std::size_t> by_route_id_;
  /// Positions in `accounts`, or `kNoAccount` for a refused key.
  static constexpr auto kNoAccount = std::numeric_limits<std::size_t>::max();
  absl::flat_hash_map<credential_digest, std::size_t> by_credential_;
  absl::flat_hash_map<std::string, std::size_t> by_name_;
};

}  // namespace bronzeroute
