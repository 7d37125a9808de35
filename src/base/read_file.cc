#include "src/base/read_file.h"

#include <array>
#include <fstream>

namespace bronzeroute {

std::optional<std::string> ReadFile(const std::string& path) {
  constexpr std::size_t kPartBytes = 4096;
  std::ifstream input(path, std::ios::binary);
  std::string bytes;
  std::array<char, kPartBytes> part{};
  while (input) {
    input.read(part.data(), part.size());
    bytes.append(part.data(), static_cast<std::size_t>(input.gcount()));
  }
  // The end of the file sets only the other error bits. A folder can be opened, but not read.
  if (!input.eof()) return std::nullopt;
  return bytes;
}

}  // namespace bronzeroute
