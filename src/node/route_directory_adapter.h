#pragma once

#include <string_view>

#include "src/calls/route_directory.h"

namespace bronzeroute {

class configuration_system;

/// The configuration in effect as the entry uses it.
class route_directory_adapter final : public route_directory {
 public:
  /// `configuration` must outlive the adapter.
  explicit route_directory_adapter(const configuration_system& configuration)
      : configuration_(configuration) {}

  route_decision Find(std::string_view service, std::string_view method,
                      std::string_view path) override;

 private:
  const configuration_system& configuration_;
};

}  // namespace bronzeroute
