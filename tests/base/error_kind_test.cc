#include "src/base/error_kind.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string_view>

#include "src/base/error_response.h"

namespace bronzeroute {
namespace {

// Guards against a row out of order, which would answer with the wrong status and execution.
TEST(ErrorKind, RowsFollowTheEnumeration) {
  std::size_t index = 0;
  std::set<std::string_view> names;
  for (const error_response& row : AllErrorResponses()) {
    EXPECT_EQ(static_cast<std::size_t>(row.kind), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
  }
}

// Guards against running work twice: another owner is tried only after a certain "not run".
TEST(ErrorKind, OnlyNotRunMayBeTriedElsewhere) {
  for (const error_response& row : AllErrorResponses()) {
    EXPECT_TRUE(!row.try_elsewhere || row.state == execution::kNotRun) << row.name;
  }
}

// Guards against a newer peer's kind being read as "not run".
TEST(ErrorKind, UnknownNumberIsNeverNotRun) {
  EXPECT_EQ(ErrorResponseFor(ErrorKindFromNumber(250)).state, execution::kUnknown);
}

}  // namespace
}  // namespace bronzeroute
