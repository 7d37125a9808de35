#include "src/ctl/stream_state.h"

#include <algorithm>

namespace bronzeroute {

const folded_record* stream_state::Find(std::string_view publication_id) const {
  const auto found =
      std::ranges::find(folded_records, publication_id, &folded_record::publication_id);
  return found == folded_records.end() ? nullptr : &*found;
}

}  // namespace bronzeroute
