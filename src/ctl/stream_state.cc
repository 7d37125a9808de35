#include "src/ctl/stream_state.h"

#include <algorithm>

namespace bronzeroute {

const record_verdict* stream_state::Find(std::string_view publication_id) const {
  const auto found =
      std::ranges::find(verdicts, publication_id, &record_verdict::publication_id);
  return found == verdicts.end() ? nullptr : &*found;
}

}  // namespace bronzeroute
