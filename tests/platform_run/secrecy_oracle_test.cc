#include "standins/platform/secrecy_oracle.h"

#include <gtest/gtest.h>

namespace bronzeroute::standin {
namespace {

// Guards against an oracle that overlooks a key in the output of a daemon.
TEST(SecrecyOracleTest, FindsEachKeyInAnyText) {
  secrecy_oracle oracle({"key-1", "key-2"});
  oracle.OnOutput("a log", "account=one status=401\n");
  EXPECT_TRUE(oracle.breaks().empty());
  EXPECT_EQ(oracle.searched_bytes(), 23U);
  oracle.OnOutput("a response", "{\"error\":\"unknown key key-2\"}");
  ASSERT_EQ(oracle.breaks().size(), 1U);
  EXPECT_EQ(oracle.breaks()[0].text,
            "a response contains a key after \"{\"error\":\"unknown key \"");
  oracle.OnOutput("a log", "key-1");
  EXPECT_EQ(oracle.breaks().size(), 2U);
}

}  // namespace
}  // namespace bronzeroute::standin
