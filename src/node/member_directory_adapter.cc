#include "src/node/member_directory_adapter.h"

#include <memory>

#include "src/configuration/configuration_system.h"
#include "src/configuration/may_run_in.h"
#include "src/membership/evacuation_set.h"
#include "src/membership/member_row.h"
#include "src/membership/membership_system.h"

namespace bronzeroute {

std::vector<member_target> member_directory_adapter::LiveMembers(std::string_view service,
                                                                 const region_limit& regions) {
  std::vector<member_target> live;
  const std::shared_ptr<const document> current = configuration_.current();
  const service_spec* spec = current == nullptr ? nullptr : current->FindService(service);
  if (spec == nullptr) {
    return live;
  }
  for (const member_row& row : membership_.members()) {
    const bool is_live =
        row.state == member_state::kAlive || row.state == member_state::kSuspect;
    if (is_live && row.service == service && MayRunIn(*spec, row.region) &&
        regions.Allows(row.region)) {
      live.push_back({row.id, row.incarnation});
    }
  }
  return live;
}

bool member_directory_adapter::IsEvacuated(member_id member) const {
  const member_row* const row = membership_.Find(member);
  return row != nullptr && evacuations_.Contains(row->availability_zone);
}

}  // namespace bronzeroute
