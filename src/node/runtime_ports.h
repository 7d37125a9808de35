#pragma once

namespace bronzeroute {

class caller_port;
class configuration_peer_port;
class datagram_port;
class log_port;
class log_sink;
class peer_link_port;
class peer_port;
class upstream_port;

/// Interfaces through which a `node_runtime` has effects.
struct runtime_ports {
  caller_port& callers;
  peer_port& peers;
  upstream_port& upstreams;
  datagram_port& datagrams;
  log_port& log;
  configuration_peer_port& configuration_peers;
  peer_link_port& links;
  /// Receives log lines on decisions; null to write none.
  log_sink* events = nullptr;
};

}  // namespace bronzeroute
