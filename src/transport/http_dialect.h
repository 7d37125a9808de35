#pragma once

#include <string>
#include <string_view>

namespace bronzeroute {

/// Names of the header fields that callers and upstreams of a deployment use. An empty name
/// means that the deployment has no such field.
struct http_dialect {
  /// Request: milliseconds until the caller's deadline.
  std::string deadline = "Bronzeroute-Deadline-Ms";
  /// Request and response: the caller's own id of the request, echoed by upstreams.
  std::string request_id;
  /// Request to an upstream: the calling service, which is the one beside the daemon that took
  /// the request.
  std::string caller_service;
  /// Request: the key of the caller's account. Not passed on while the configuration has
  /// accounts.
  std::string credential;
  /// Request to an upstream: the name of the caller's account, set by the daemon whatever the
  /// caller sent while the configuration has accounts.
  std::string account;
  /// Request to an upstream: the identity that the upstream must have to run the request.
  std::string expected_upstream;
  /// Response of an upstream: present if it did not run the request.
  std::string not_run;
  /// Response of an upstream: its load, in the format of `ParseLoadReport`.
  std::string load;
  /// Response of an upstream: requests per second that it takes from all daemons together.
  std::string max_rate;
  /// Response of an upstream: present with the value 1 if it is about to end.
  std::string leaving;
  /// Response of an upstream: shows that the upstream itself made the response. A response with
  /// status 2xx that lacks it is treated as lost.
  std::string seal;
  /// Whether the Bronzeroute-* fields are read from callers, sent to upstreams and added to
  /// responses.
  bool has_own_fields = true;

  /// True for each field that has a meaning in this dialect.
  bool IsField(std::string_view name) const;
  /// True for a field that only a daemon may set on a request to an upstream.
  bool IsDaemonRequestField(std::string_view name) const;
  /// True for the fields with the key and the name of the caller's account.
  bool IsAccountField(std::string_view name) const;
  /// True for a field of an upstream's response that is not relayed to callers.
  bool IsDaemonResponseField(std::string_view name) const;
};

}  // namespace bronzeroute
