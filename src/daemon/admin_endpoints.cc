#include "src/daemon/admin_endpoints.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/strings/str_format.h"
#include "src/base/concat.h"
#include "src/base/error_response.h"
#include "src/calls/call_history.h"
#include "src/calls/call_id_text.h"
#include "src/daemon/settings.h"
#include "src/measuring/exposition.h"
#include "src/node/node_runtime.h"
#include "src/transport/error_body.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_router.h"

namespace bronzeroute {
namespace {

using value = nlohmann::json;

constexpr std::string_view kPrefix = "/.bronzeroute/v1/";
constexpr std::uint32_t kMaxAnnounced = 100'000;

local_response Json(const value& body) { return {200, "application/json", body.dump()}; }

local_response BadRequest(std::string_view text) {
  value body;
  body["error"] = std::string(text);
  return {400, "application/json", body.dump()};
}

std::string_view StateName(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kDead:
      return "dead";
    case member_state::kLeft:
      break;
  }
  return "left";
}

value Text(std::string_view text) { return std::string(text); }

value MemberJson(const member_row& row) {
  value result;
  // 16 hexadecimal digits, as in call ids and explanations.
  result["id"] = Text(absl::StrFormat("%016x", row.id.value));
  result["incarnation"] = Text(absl::StrFormat("%x", row.incarnation.value));
  result["state"] = Text(StateName(row.state));
  result["service"] = Text(row.service);
  result["region"] = Text(row.region);
  result["availability_zone"] = Text(row.availability_zone);
  result["callers_address"] = Text(row.callers_address);
  result["admin_address"] = Text(row.admin_address);
  result["peer_address"] = Text(row.peer_address);
  result["draining"] = row.draining;
  result["config_version"] = row.config_version;
  return result;
}

local_response Status(const node_runtime& runtime, const settings& options) {
  const member_row& self = runtime.membership().self();
  const admission_system& admission = runtime.admission().system();
  value result = MemberJson(self);
  result["environment"] = Text(options.environment);
  result["config_version"] = runtime.configuration().version();
  result["config_problem"] = Text(runtime.configuration().problem());
  result["ready_members"] = runtime.ServingMembers();
  result["log_available"] = runtime.membership().log_available();
  result["draining"] = admission.draining();
  result["stopping"] = runtime.stopping();
  result["running"] = admission.running();
  result["queued"] = admission.queued();
  result["effective_slots"] = admission.EffectiveSlots(MonotonicNow());
  result["open_calls"] = runtime.calls().entry().open_calls();
  return Json(result);
}

local_response Members(const node_runtime& runtime) {
  std::vector<value> rows;
  for (const member_row& row : runtime.membership().members()) {
    rows.push_back(MemberJson(row));
  }
  value result;
  result["members"] = std::move(rows);
  return Json(result);
}

local_response Configuration(const node_runtime& runtime) {
  const configuration_snapshot& snapshot = runtime.configuration().in_effect();
  value result;
  result["version"] = snapshot.version;
  result["digest"] = Text(Concat(snapshot.digest));
  result["document"] = Text(snapshot.bytes);
  return Json(result);
}

local_response Explain(const node_runtime& runtime, std::string_view query) {
  constexpr std::string_view kParameter = "call=";
  const std::size_t at = query.find(kParameter);
  const auto id = at == std::string_view::npos
                      ? std::nullopt
                      : ParseCallId(query.substr(at + kParameter.size()));
  if (!id) {
    return BadRequest(
        "not a call id; expected call= and the value of a Bronzeroute-Call header");
  }
  const call_record* row = runtime.calls().entry().history().Find(*id);
  if (row == nullptr) {
    return {404, "text/plain",
            "This daemon has no record of the call; query the daemon that received it.\n"};
  }
  return {200, "text/plain", ExplainCall(*row)};
}

local_response Announce(node_runtime& runtime, std::string_view body) {
  try {
    const value announced = value::parse(body);
    const std::string service = announced.at("service").get<std::string>();
    const std::string address = announced.at("address").get<std::string>();
    const auto slots = announced.at("slots").get<std::uint32_t>();
    const auto connections = announced.at("connections").get<std::uint32_t>();
    if (slots == 0 || slots > kMaxAnnounced || connections == 0 ||
        connections > kMaxAnnounced) {
      return BadRequest("slots and connections must be from 1 to 100000");
    }
    runtime.OnAnnouncement(
        {.service = service, .address = address, .slots = slots, .connections = connections},
        MonotonicNow());
    return Json(value::object());
  } catch (const std::exception&) {
    return BadRequest("expected a JSON object with service, address, slots and connections");
  }
}

local_response IssueKey(node_runtime& runtime, std::string_view path) {
  const std::string_view service = path.substr(path.rfind('/') + 1);
  const auto issued = runtime.calls().IssueKey(service, MonotonicNow());
  if (const auto* kind = std::get_if<error_kind>(&issued)) {
    return {ErrorResponseFor(*kind).http_status, "application/json", ErrorBody(*kind, {}, 0)};
  }
  value result;
  result["key"] = Text(std::get<std::string>(issued));
  return Json(result);
}

}  // namespace

void AddAdminEndpoints(http_router& router, node_runtime& runtime, const settings& options) {
  const auto path = [](std::string_view name) { return Concat(kPrefix, name); };
  router.Add("POST", path("announce"), [&runtime](const local_request& request) {
    return Announce(runtime, request.body);
  });
  router.Add("POST", path("drain"), [&runtime](const local_request&) {
    runtime.Drain(MonotonicNow());
    const admission_system& admission = runtime.admission().system();
    value result;
    result["draining"] = admission.draining();
    result["running"] = admission.running();
    result["queued"] = admission.queued();
    return Json(result);
  });
  router.Add("GET", path("status"),
             [&runtime, &options](const local_request&) { return Status(runtime, options); });
  router.Add("GET", path("members"),
             [&runtime](const local_request&) { return Members(runtime); });
  router.Add("GET", path("configuration"),
             [&runtime](const local_request&) { return Configuration(runtime); });
  router.Add("GET", path("explain"), [&runtime](const local_request& request) {
    return Explain(runtime, request.query);
  });
  router.Add("GET", path("metrics"), [&runtime](const local_request& request) {
    const bool with_minutes = request.query == "minutes=1";
    const time_point now = MonotonicNow();
    return local_response{
        200, "text/plain; version=0.0.4",
        ExpositionText(runtime.metrics(), runtime.budget(), now,
                       with_minutes ? exposition_detail::kMinutes : exposition_detail::kTotals,
                       runtime.restrictions(now), runtime.usage().Counters(),
                       runtime.configuration().counters())};
  });
}

void AddReadyEndpoint(http_router& router, node_runtime& runtime) {
  // Matches any path: readiness probes use a separate address, and each chooses its own path.
  router.Add("GET", "/", [&runtime](const local_request&) {
    const bool ready = runtime.IsReady();
    return local_response{ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"};
  });
}

void AddCallerEndpoints(http_router& router, node_runtime& runtime) {
  router.Add("POST", Concat(kPrefix, "keys/"), [&runtime](const local_request& request) {
    return IssueKey(runtime, request.path);
  });
}

}  // namespace bronzeroute
