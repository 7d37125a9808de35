#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeroute::standin {

using std::chrono::milliseconds;

struct zone_shape {
  std::string name;
  std::string region;
};

/// Machines of one zone beside upstreams of one service.
struct machine_shape {
  std::string zone;
  std::string service;
  int count = 0;
};

struct service_shape {
  std::string name;
  int slots = 0;
  int queue = 0;
  int connections = 0;
  /// Requests per second that a cold upstream bears, and for how long it is cold; 0 for none.
  double cold_per_second = 0;
  milliseconds cold_time{0};
};

/// Calls that an upstream makes while it runs a request.
struct nested_call_shape {
  std::string request_class;
  int times = 0;
  double share = 0;
};

/// One kind of request.
struct class_shape {
  std::string name;
  std::string service;
  /// Services to which the route may move, beside `service`.
  std::vector<std::string> also;
  std::string method;
  std::string kind;
  bool is_nested = false;
  bool reuses_connections = false;
  milliseconds objective{0};
  milliseconds deadline{0};
  milliseconds route_limit{0};
  double work_ms = 0;
  double request_bytes = 0;
  double response_bytes = 0;
  int priority = 0;
  /// Regions in which requests may run; empty for all.
  std::vector<std::string> homes;
  std::vector<nested_call_shape> calls;
};

/// Callers of one zone: requests a second, and their shares by class.
struct traffic_shape {
  std::string zone;
  double per_second = 0;
  std::map<std::string, double> mix;
};

/// Bounds by which the oracle judges.
struct bound_shape {
  /// Time in which a confirmed configuration has to be in effect.
  milliseconds configuration{0};
  /// A fault of the store excuses late versions until this time after its end.
  milliseconds stability{0};
  milliseconds grace{0};
  /// Time in which a daemon has to stop the use of an upstream that leaves.
  milliseconds drain{0};
  /// Time in which a daemon has to stop the use of an evacuated zone.
  milliseconds evacuation{0};
};

/// A deployment as a site file describes it: the part that the stand-ins need.
struct site_shape {
  std::vector<zone_shape> zones;
  std::vector<machine_shape> machines;
  std::vector<service_shape> services;
  std::vector<class_shape> classes;
  std::vector<traffic_shape> traffic;
  bound_shape bounds;

  int MachineCount() const;
  const service_shape* FindService(std::string_view name) const;
  const class_shape* FindClass(std::string_view name) const;
};

/// Reads a site file. Throws std::runtime_error with file, place, what was found and what is
/// allowed.
site_shape ReadSite(const std::string& file);

}  // namespace bronzeroute::standin
