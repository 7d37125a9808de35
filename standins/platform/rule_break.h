#pragma once

#include <string>

namespace bronzeroute::standin {

/// A rule that was broken, as seen from outside.
struct rule_break {
  std::string rule;
  std::string text;
};

}  // namespace bronzeroute::standin
