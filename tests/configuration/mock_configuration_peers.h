#pragma once

#include <gmock/gmock.h>

#include <cstdint>

#include "src/configuration/configuration_peer_port.h"

namespace bronzeroute::tests {

struct mock_configuration_peers : configuration_peer_port {
  MOCK_METHOD(void, FetchSnapshot, (member_id, std::int64_t), (override));
};

}  // namespace bronzeroute::tests
