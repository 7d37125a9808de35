#include "src/transport/http_address.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string>

#include "src/transport/absl_text.h"

namespace bronzeroute {

absl::StatusOr<std::pair<boost::asio::ip::address, std::uint16_t>> ParseAddress(
    std::string_view text) {
  const auto error = [text] {
    return absl::InvalidArgumentError(absl::StrCat(
        "\"", AbslText(text),
        "\" is not a valid address; expected ip:port with a port from 1 to 65535"));
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return error();
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(AbslText(text.substr(colon + 1)), &port) || port == 0 || port > 65535) {
    return error();
  }
  boost::system::error_code failed;
  const auto ip = boost::asio::ip::make_address(std::string(host), failed);
  if (failed) return error();
  return std::pair(ip, static_cast<std::uint16_t>(port));
}

}  // namespace bronzeroute
