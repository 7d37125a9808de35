#pragma once

#include <string>
#include <string_view>

namespace bronzeroute {

/// Names of the header fields that callers and upstreams of a deployment use. An empty name
/// means that the deployment has no such field.
struct http_dialect {
  /// Request: milliseconds until the caller's deadline.
  std::string deadline = "Bronzeroute-Deadline-Ms";
  /// Request and answer: the caller's own id of the request, which upstreams echo.
  std::string request_id;
  /// Request to an upstream: the service beside the daemon that took the request.
  std::string caller_service;
  /// Request to an upstream: the identity it must have to run the request.
  std::string expected_upstream;
  /// Answer of an upstream: present if it did not run the request.
  std::string not_run;
  /// Answer of an upstream: its load, as `ParseLoadReport` reads it.
  std::string load;
  /// Answer of an upstream: proof that it made the answer. A success without it is a failure.
  std::string seal;
  /// The product's own fields, Bronzeroute-*, are read from callers, sent to upstreams and
  /// added to answers.
  bool has_own_fields = true;

  /// True for a field that only a daemon may set on a request to an upstream.
  bool IsDaemonRequestField(std::string_view name) const;
  /// True for a field of an upstream's answer that is not passed on to callers.
  bool IsDaemonResponseField(std::string_view name) const;
};

}  // namespace bronzeroute
