#pragma once

#include <absl/status/statusor.h>
#include <cpprest/http_listener.h>

#include <functional>
#include <memory>
#include <string_view>

namespace bronzeroute {

/// Opens an HTTP server on `address` ("ip:port") that passes every request to `handler` on the
/// event loop. A bad or taken address gives an error that names it. Waits for the loop: never
/// call it there.
absl::StatusOr<std::unique_ptr<web::http::experimental::listener::http_listener>> OpenListener(
    std::string_view address, const std::function<void(web::http::http_request)>& handler);

/// Closes `listener` and resets it; null is allowed. Never on the event loop.
void CloseListener(std::unique_ptr<web::http::experimental::listener::http_listener>& listener);

}  // namespace bronzeroute
