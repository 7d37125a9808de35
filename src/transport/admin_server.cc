#include "src/transport/admin_server.h"

#include "src/transport/http_connection.h"
#include "src/transport/http_router.h"

namespace bronzeroute {

void admin_server::OnRequest(const std::shared_ptr<http_connection>& connection,
                             const std::shared_ptr<exchange>& row) {
  router_.Serve(connection, row);
}

}  // namespace bronzeroute
