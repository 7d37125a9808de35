#include "src/configuration/route_index.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "src/configuration/host_route.h"

namespace bronzeroute {
namespace {

std::vector<host_route> Routes() {
  std::vector<host_route> routes(4);
  routes[0].host = routes[1].host = routes[2].host = "a.example";
  routes[0].prefix = "/x/";
  routes[1].prefix = "/x/y/";
  routes[2].prefix = "/xy/";
  routes[3].host = "b.example";
  routes[3].prefix = "/";
  return routes;
}

// Guards against matching a shorter prefix, part of a segment, or a route of another host.
TEST(RouteIndex, FindsTheLongestPrefixOfTheHost) {
  const std::vector<host_route> routes = Routes();
  const route_index index(routes);
  EXPECT_EQ(index.Find("a.example", "/x/1"), 0U);
  EXPECT_EQ(index.Find("a.example", "/x/"), 0U);
  EXPECT_EQ(index.Find("a.example", "/x/y/1/2"), 1U);
  EXPECT_EQ(index.Find("a.example", "/x/y"), 0U);
  EXPECT_EQ(index.Find("a.example", "/xy/1"), 2U);
  EXPECT_EQ(index.Find("a.example", "/x"), std::nullopt);
  EXPECT_EQ(index.Find("a.example", "/z/"), std::nullopt);
  EXPECT_EQ(index.Find("b.example", "/x/y/1"), 3U);
  EXPECT_EQ(index.Find("c.example", "/x/1"), std::nullopt);
  EXPECT_EQ(index.Find("", "/x/1"), std::nullopt);
}

TEST(RouteIndex, IgnoresPortCaseAndQuery) {
  const std::vector<host_route> routes = Routes();
  const route_index index(routes);
  EXPECT_EQ(index.Find("A.Example:8080", "/x/1?p=/x/y/"), 0U);
  EXPECT_EQ(index.Find("a.example", "/x/1#/y/"), 0U);
}

}  // namespace
}  // namespace bronzeroute
