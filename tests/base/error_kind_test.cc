#include "src/base/error_kind.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string_view>

#include "src/base/error_response.h"

namespace bronzeroute {
namespace {

// Guards against a row out of order, which would yield the wrong status and execution state.
TEST(ErrorKind, TableRowsFollowTheEnumeration) {
  std::size_t index = 0;
  std::set<std::string_view> names;
  for (const error_response& row : AllErrorResponses()) {
    EXPECT_EQ(static_cast<std::size_t>(row.kind), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
  }
}

// Guards against running a request twice: another owner may be tried only if the request was
// certainly not run.
TEST(ErrorKind, OnlyNotRunKindsAllowAnotherOwner) {
  for (const error_response& row : AllErrorResponses()) {
    EXPECT_TRUE(!row.try_elsewhere || row.state == execution::kNotRun) << row.name;
  }
}

// Guards against an error kind that only a newer peer defines being read as "not run".
TEST(ErrorKind, UnknownNumberIsNeverReadAsNotRun) {
  EXPECT_EQ(ErrorResponseFor(ErrorKindFromNumber(250)).state, execution::kUnknown);
}

}  // namespace
}  // namespace bronzeroute
