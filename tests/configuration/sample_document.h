#pragma once

#include <string>

namespace bronzeroute {

/// A small valid document with different bytes for each `number`.
inline std::string SampleDocument(int number) {
  return "format = 1\nname = \"sample-" + std::to_string(number) +
         "\"\n[[service]]\nname = \"media\"\ndeadline_ms = 900\nslots = 6\nconnections = 260\n";
}

}  // namespace bronzeroute
