#include "src/configuration/substitution.h"

#include "src/base/concat.h"

namespace bronzeroute {

std::string DescribeSubstitution(const substitution& made) {
  return Concat(DescribeError(made.error), "; used: ", made.used);
}

}  // namespace bronzeroute
