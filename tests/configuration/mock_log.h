#pragma once

#include <gmock/gmock.h>

#include <cstdint>
#include <string_view>

#include "src/platform/log_port.h"

namespace bronzeroute::tests {

struct mock_log : log_port {
  MOCK_METHOD(void, Append,
              (std::string_view, std::string_view, std::string_view, std::uint64_t),
              (override));
  MOCK_METHOD(void, Read, (std::string_view, std::int64_t), (override));
};

}  // namespace bronzeroute::tests
