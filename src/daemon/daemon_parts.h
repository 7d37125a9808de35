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

/// The parts of a daemon that differ between deployments: the client of the log service, the
/// format of configuration documents, the HTTP header names and additional endpoints.
struct daemon_parts {
  http_dialect dialect;
  configuration_form form = configuration_form::kPublications;
  document_reader read_document = ReadTomlDocument;
  /// As `read_document`, but lists all values that are replaced.
  document_reader check_document = ReadTomlDocument;
  /// Opens the client of the log service, which reports its results to the listener.
  std::function<std::unique_ptr<log_port>(const settings&, log_listener)> open_log;
  /// Adds the deployment's own endpoints on the address `announcements`; may be empty.
  std::function<void(http_router&, node_runtime&, log_sink&)> add_endpoints;
};

}  // namespace bronzeroute
