#include "src/configuration/guarantees_text.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "src/configuration/parse_document.h"

namespace bronzeroute {
namespace {

using testing::HasSubstr;

// Guards against figures that differ from the configuration and against omitting the limits of
// a guarantee.
TEST(GuaranteesText, NamesFiguresAndGapsOfEveryService) {
  const parse_result parsed = ParseDocument(R"(format = 1
name = "gelo"
[[service]]
name = "pedidos"
deadline_ms = 750
slots = 6
connections = 260
queue_limit = 24
long_share = 0.34
regions = ["recife"]
objective = 0.999
objective_latency_ms = 120
[[service.route]]
method = "POST"
prefix = "/pedidos"
protected = true
[[service]]
name = "estoque"
deadline_ms = 1500
slots = 1
connections = 10
)",
                                            "gelo.toml");
  ASSERT_TRUE(parsed.value);
  const std::string text = GuaranteesText(*parsed.value);
  for (const std::string part :
       {"Service pedidos", "Service estoque",
        "POST /pedidos: at most once, short work, deadline 750 ms", "at most 6 requests",
        "at most 260 connections", "at most 2 of 6 slots", "only in recife",
        "99.9% of requests are served within 120 ms", "1 of 1000 requests", "1.5 s",
        "every region", "second try with the caller's own key",
        "With 1 slot, short work does wait"}) {
    EXPECT_THAT(text, HasSubstr(part));
  }
}

}  // namespace
}  // namespace bronzeroute
