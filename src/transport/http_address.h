#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

namespace bronzeroute {

/// Parses "ip:port"; the error message contains `text`.
absl::StatusOr<std::pair<boost::asio::ip::address, std::uint16_t>> ParseAddress(
    std::string_view text);

}  // namespace bronzeroute
