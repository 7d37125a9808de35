#pragma once

namespace bronzeroute {

class admission_gate;
class caller_port;
class member_directory;
class peer_port;
class route_directory;
class upstream_chooser;
class upstream_port;
class usage_gate;

/// Interfaces through which a node has effects. All must outlive the node.
struct node_ports {
  caller_port& callers;
  peer_port& peers;
  upstream_port& upstreams;
  upstream_chooser& chooser;
  admission_gate& gate;
  member_directory& members;
  route_directory& routes;
  /// Usage caps of accounts; null for none.
  usage_gate* usage = nullptr;
};

}  // namespace bronzeroute
