#include "src/transport/http_listener_factory.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <exception>
#include <string>
#include <utility>

#include "src/transport/absl_text.h"
#include "src/transport/http_address.h"

namespace bronzeroute {

absl::StatusOr<std::unique_ptr<web::http::experimental::listener::http_listener>> OpenListener(
    std::string_view address, const std::function<void(web::http::http_request)>& handler) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  auto listener = std::make_unique<web::http::experimental::listener::http_listener>(
      web::uri(absl::StrCat("http://", AbslText(address), "/")));
  listener->support(handler);
  try {
    listener->open().wait();
    return listener;
  } catch (const std::exception& error) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", AbslText(address), ": ", error.what()));
  }
}

void CloseListener(
    std::unique_ptr<web::http::experimental::listener::http_listener>& listener) {
  if (listener == nullptr) return;
  try {
    listener->close().wait();
  } catch (const std::exception&) {
    // The library forgets open listeners after another one failed to open.
  }
  listener = nullptr;
}

}  // namespace bronzeroute
