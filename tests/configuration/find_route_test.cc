#include "src/configuration/find_route.h"

#include <gtest/gtest.h>

#include <string>

#include "src/configuration/service_spec.h"

namespace bronzeroute {
namespace {

service_spec Pedidos() {
  service_spec service;
  service.name = "pedidos";
  service.time_limit = std::chrono::milliseconds(700);
  const auto add = [&](std::string method, std::string prefix, bool is_protected) {
    route_spec route;
    route.method = std::move(method);
    route.prefix = std::move(prefix);
    route.is_protected = is_protected;
    service.routes.push_back(route);
  };
  add("*", "/pedidos", false);
  add("POST", "/pedidos", false);
  add("POST", "/pedidos/pagamentos", true);
  return service;
}

// Guards against matching a shorter prefix, a wildcard method or part of a longer segment.
TEST(FindRoute, LongestPrefixAtSegmentBoundary) {
  const service_spec service = Pedidos();
  EXPECT_EQ(FindRoute(service, "POST", "/pedidos/pagamentos/7?x=/y").prefix,
            "/pedidos/pagamentos");
  EXPECT_EQ(FindRoute(service, "POST", "/pedidos/pagamentos-antigos").prefix, "/pedidos");
  EXPECT_EQ(FindRoute(service, "POST", "/pedidos/7").method, "POST");
  EXPECT_EQ(FindRoute(service, "GET", "/pedidos/pagamentos").method, "*");
}

// Guards against a protected request that is treated as repeatable because its path is spelled
// differently.
TEST(FindRoute, OtherSpellingsStayProtected) {
  const service_spec service = Pedidos();
  for (const std::string path :
       {"/pedidos//pagamentos", "/pedidos/./pagamentos", "/pedidos/x/../pagamentos",
        "/pedidos/%70agamentos/9", "/pedidos%2Fpagamentos"}) {
    EXPECT_TRUE(FindRoute(service, "POST", path).is_protected) << path;
  }
}

// Guards against repeating a write request that matches no route.
TEST(FindRoute, UnlistedWritesAreProtected) {
  service_spec service = Pedidos();
  service.routes.clear();
  EXPECT_TRUE(FindRoute(service, "POST", "/pedidos").is_protected);
  EXPECT_FALSE(FindRoute(service, "GET", "/pedidos").is_protected);
  EXPECT_EQ(FindRoute(service, "GET", "/pedidos").time_limit, service.time_limit);
}

}  // namespace
}  // namespace bronzeroute
