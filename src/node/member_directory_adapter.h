#pragma once

#include <string_view>
#include <vector>

#include "src/calls/member_directory.h"

namespace bronzeroute {

class configuration_system;
class evacuation_set;
class membership_system;

/// Lists the members of a service, among which the entry finds the home of a key.
class member_directory_adapter final : public member_directory {
 public:
  /// All must outlive the adapter.
  member_directory_adapter(const membership_system& membership,
                           const configuration_system& configuration,
                           const evacuation_set& evacuations)
      : membership_(membership), configuration_(configuration), evacuations_(evacuations) {}

  std::vector<member_target> LiveMembers(std::string_view service,
                                         const region_limit& regions) override;
  bool IsEvacuated(member_id member) const override;

 private:
  const membership_system& membership_;
  const configuration_system& configuration_;
  const evacuation_set& evacuations_;
};

}  // namespace bronzeroute
