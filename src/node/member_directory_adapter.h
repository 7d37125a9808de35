#pragma once

#include <string_view>
#include <vector>

#include "src/calls/member_directory.h"

namespace bronzeroute {

class membership_system;

/// The members of a service as the entry needs them to find the home of a key.
class member_directory_adapter final : public member_directory {
 public:
  /// `membership` must outlive the adapter.
  explicit member_directory_adapter(const membership_system& membership)
      : membership_(membership) {}

  std::vector<member_target> LiveMembers(std::string_view service) override;

 private:
  const membership_system& membership_;
};

}  // namespace bronzeroute
