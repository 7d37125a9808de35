#pragma once

#include <string>

#include "src/configuration/document_error.h"

namespace bronzeroute {

/// A value of a document that cannot be used as written, and what takes its place.
struct substitution {
  document_error error;
  std::string used;

  friend bool operator==(const substitution&, const substitution&) = default;
};

/// The substitution as "file: key: found ...; allowed: ...; used: ...".
std::string DescribeSubstitution(const substitution& made);

}  // namespace bronzeroute
