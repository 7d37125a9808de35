#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

namespace bronzeroute {

/// Reads "ip:port"; the error names the address.
absl::StatusOr<std::pair<boost::asio::ip::address, std::uint16_t>> ParseAddress(
    std::string_view text);

}  // namespace bronzeroute
