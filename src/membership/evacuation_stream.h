#pragma once

#include <string>
#include <string_view>

#include "src/base/concat.h"

namespace bronzeroute {

/// Name of the log stream of `environment` that holds the evacuations in force. Each record has
/// the name of an availability zone as its key; its removal ends the evacuation.
inline std::string EvacuationStream(std::string_view environment) {
  return Concat("evacuations.", environment);
}

}  // namespace bronzeroute
