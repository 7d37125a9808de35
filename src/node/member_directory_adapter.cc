#include "src/node/member_directory_adapter.h"

#include "src/membership/member_row.h"
#include "src/membership/membership_system.h"

namespace bronzeroute {

std::vector<member_target> member_directory_adapter::LiveMembers(std::string_view service) {
  std::vector<member_target> live;
  for (const member_row& row : membership_.members()) {
    const bool is_live =
        row.state == member_state::kAlive || row.state == member_state::kSuspect;
    if (is_live && row.service == service) {
      live.push_back({row.id, row.run});
    }
  }
  return live;
}

}  // namespace bronzeroute
