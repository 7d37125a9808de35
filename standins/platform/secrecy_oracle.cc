#include "standins/platform/secrecy_oracle.h"

#include <algorithm>

#include "src/base/concat.h"

namespace bronzeroute::standin {
namespace {

// Text shown before a key.
constexpr std::size_t kShownBefore = 80;

}  // namespace

void secrecy_oracle::OnOutput(std::string_view source, std::string_view text) {
  searched_bytes_ += text.size();
  for (const std::string& key : keys_) {
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos) continue;
    const std::size_t begin = at - std::min(at, kShownBefore);
    breaks_.push_back({"SECRECY", Concat(source, " contains a key after \"",
                                         text.substr(begin, at - begin), "\"")});
  }
}

}  // namespace bronzeroute::standin
