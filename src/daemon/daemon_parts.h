#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/configuration/configuration_form.h"
#include "src/configuration/document_reader.h"
#include "src/platform/log_listener.h"
#include "src/platform/log_port.h"
#include "src/transport/http_dialect.h"

namespace bronzeroute {

class http_router;
class log_sink;
class node_runtime;
struct settings;

/// What a daemon is built from besides its settings. The defaults are the product's own;
/// another deployment brings its log service, its documents and the names on its wire.
struct daemon_parts {
  http_dialect dialect;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// Opens the client of the log service; its results go to the listener.
  std::function<std::unique_ptr<log_port>(const settings&, log_listener)> open_log;
  /// Endpoints that the deployment asks of a daemon on the address `announcements`.
  std::function<void(http_router&, node_runtime&, log_sink&)> add_endpoints;
};

}  // namespace bronzeroute
