#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "standins/platform/account_oracle.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

/// A place of a route: host and path prefix.
struct route_place {
  std::string host;
  std::string prefix;
  friend bool operator<(const route_place& left, const route_place& right) {
    return std::tie(left.host, left.prefix) < std::tie(right.host, right.prefix);
  }
};

/// A route of one version of the configuration.
struct authored_route {
  std::string request_class;
  /// Services with their weights; one or more.
  std::vector<std::pair<std::string, int>> targets;
  milliseconds limit{0};
};

/// One version of the configuration, as the operator wrote it.
struct authored_version {
  std::int64_t number = 0;
  std::map<route_place, authored_route> routes;

  /// The route with the longest prefix of `path`, or null.
  const authored_route* Find(std::string_view host, std::string_view path) const;
};

/// The operator of a deployment: writes whole versions in uneven steps, each with one change to
/// the version before. Names of services, hosts and paths are made up from a seed.
class configuration_author {
 public:
  configuration_author(const site_shape& site, std::uint64_t seed);

  /// Client accounts of each document from now on.
  void SetAccounts(std::vector<account_shape> accounts) { accounts_ = std::move(accounts); }

  /// Name on the wire of a service of the site.
  const std::string& ServiceName(std::string_view name) const;
  /// Place of the first route of a class.
  const route_place& PlaceOf(std::string_view request_class) const;
  /// The first version.
  authored_version First();
  /// The version after the last one.
  authored_version Next();
  /// A version as a document of the platform.
  nlohmann::json Document(const authored_version& version) const;
  /// Routes that were added to the first version, in order.
  const std::vector<route_place>& added() const { return added_; }
  /// What the last change was, for the log.
  const std::string& last_change() const { return last_change_; }

 private:
  std::string Name(int letters);
  route_place NewPlace();
  authored_route RouteOf(const class_shape& request_class) const;
  void Change(authored_version& version);
  bool Move(authored_version& version);
  bool Split(authored_version& version);
  bool Limit(authored_version& version);
  bool Add(authored_version& version);
  bool Drop(authored_version& version);
  /// A class whose route may move to another service; null if there is none.
  const class_shape* PickMovable();
  int Pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

  const site_shape& site_;
  std::mt19937_64 random_;
  std::map<std::string, std::string, std::less<>> service_names_;
  std::map<std::string, route_place, std::less<>> places_;
  std::vector<route_place> added_;
  std::optional<authored_version> last_;
  std::int64_t base_ = 0;
  std::vector<account_shape> accounts_;
  std::string last_change_;
};

}  // namespace bronzeroute::standin
