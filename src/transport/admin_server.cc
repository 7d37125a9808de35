#include "src/transport/admin_server.h"

#include <utility>

#include "src/transport/http_listener_factory.h"
#include "src/transport/http_router.h"

namespace bronzeroute {

absl::Status admin_server::Start(std::string_view address) {
  auto listener = OpenListener(
      address, [this](const web::http::http_request& request) { router_.Serve(request); });
  if (!listener.ok()) return listener.status();
  listener_ = *std::move(listener);
  return absl::OkStatus();
}

void admin_server::Stop() { CloseListener(listener_); }

}  // namespace bronzeroute
