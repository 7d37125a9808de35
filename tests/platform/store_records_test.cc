#include "platform/store_records.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzeroute::platform {
namespace {

// Guards against one odd record of another writer that keeps all others from being read.
TEST(StoreRecords, OddRecordsOfAPageAreLeftOut) {
  const auto page = DecodeNewest(R"({"items":[
      {"key":"a","value":"YQ==","offset":1},
      {"key":7,"value":"YQ==","offset":2},
      {"key":"c","value":"***","offset":3},
      {"key":"d","offset":4},
      {"key":"e","value":"YQ==","offset":"5"},
      "f",
      {"key":"g","value":"Zw==","offset":6}],"more":false,"end":9})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page->end, 9);
  ASSERT_EQ(page->records.size(), 2U);
  EXPECT_EQ(page->records[0].key, "a");
  EXPECT_EQ(page->records[1].key, "g");
  EXPECT_EQ(page->records[1].value, "g");
}

// Guards against a page that ends the process: numbers that no type holds, and deep nesting.
TEST(StoreRecords, MalformedPagesAreErrors) {
  constexpr std::size_t kDepth = 100'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& text : {std::string(), std::string("[]"), nested,
                                  std::string(R"({"items":[],"more":false,"end":1e999})"),
                                  std::string(R"({"items":7,"more":false})"),
                                  R"({"items":)" + nested + R"(,"more":0,"end":1})"}) {
    EXPECT_FALSE(DecodeNewest(text)) << text.substr(0, 100);
    EXPECT_FALSE(DecodeAppended(text)) << text.substr(0, 100);
  }
}

}  // namespace
}  // namespace bronzeroute::platform
