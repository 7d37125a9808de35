#pragma once

namespace bronzeroute {

class http_router;
class node_runtime;
struct settings;

/// Adds the endpoints of the admin address: announce, drain, status, members, configuration,
/// explain and metrics. `runtime` must outlive `router`.
void AddAdminEndpoints(http_router& router, node_runtime& runtime, const settings& options);

/// Adds the readiness probe on any path: responds 200 if callers may send requests to this
/// daemon, otherwise 503.
void AddReadyEndpoint(http_router& router, node_runtime& runtime);

/// Adds the endpoints of the callers' address: issued idempotency keys.
void AddCallerEndpoints(http_router& router, node_runtime& runtime);

}  // namespace bronzeroute
