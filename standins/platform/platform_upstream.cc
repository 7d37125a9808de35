#include "standins/platform/platform_upstream.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_format.h"
#include "src/configuration/region_limit.h"
#include "standins/platform/account_oracle.h"
#include "standins/platform/configuration_oracle.h"
#include "standins/platform/loop_timer.h"
#include "standins/platform/placement_oracle.h"
#include "standins/platform/platform_addresses.h"
#include "standins/platform/upstream_oracle.h"

namespace bronzeroute::standin {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kDefaultDeadline{5};

}  // namespace

platform_upstream::platform_upstream(const site_shape& site, const configuration_author& author,
                                     const machine_place& place, caller_client& client,
                                     const run_oracles& oracles, std::uint64_t seed)
    : site_(site),
      author_(author),
      place_(place),
      client_(client),
      oracles_(oracles),
      random_(seed),
      service_(*site.FindService(place.service)),
      identity_(absl::StrFormat("i-%08x", static_cast<std::uint32_t>(random_()))),
      born_(UnixMilliseconds()),
      endpoint_([this](const received_request& request,
                       const http_endpoint::responder& respond) { Handle(request, respond); }) {
}

absl::Status platform_upstream::Start() {
  return endpoint_.Start(Address(place_.ip, kUpstreamPort));
}

std::string platform_upstream::Report(std::string_view state, std::uint64_t sequence) const {
  const json body = {{"address", Address(place_.ip, kUpstreamPort)},
                     {"born", born_},
                     {"info",
                      {{"service", author_.ServiceName(place_.service)},
                       {"version", "v1"},
                       {"zone", place_.zone},
                       {"slots", service_.slots}}},
                     {"status",
                      {{"state", std::string(state)},
                       {"sequence", sequence},
                       {"coldLeftMs", ColdLeft().count()}}}};
  return body.dump();
}

void platform_upstream::Tell(std::string_view call, std::string body,
                             std::function<void(bool)> done) {
  client_request report;
  report.method = "POST";
  report.target = absl::StrFormat("/api/instances/%s/%s", identity_, call);
  report.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  report.body = std::move(body);
  report.patience = std::chrono::seconds(1);
  client_.Send(Address(place_.ip, kControlPort), std::move(report),
               [done = std::move(done)](const client_response& response) {
                 done(response.status / 100 == 2);
               });
}

void platform_upstream::Announce() {
  if (has_departed_) return;
  const bool says_leaving = is_leaving_ && steady_clock::now() >= leaving_reported_at_;
  Tell("heartbeat", Report(says_leaving ? "draining" : "ready", ++sequence_), [](bool) {});
}

void platform_upstream::Depart(bool deregisters, std::function<void(bool)> done) {
  has_departed_ = true;
  if (deregisters) {
    Tell("deregister", json{{"born", born_}}.dump(), std::move(done));
  } else {
    Tell("heartbeat", Report("draining", sequence_ + 2), std::move(done));
  }
}

void platform_upstream::SendLateReport() {
  Tell("heartbeat", Report("ready", sequence_ + 1), [](bool) {});
}

void platform_upstream::BecomeCold(steady_clock::time_point until) {
  if (service_.cold_per_second <= 0) return;
  cold_until_ = until;
  oracles_.placement.OnCold(identity_, service_.cold_per_second, until);
}

milliseconds platform_upstream::ColdLeft() const {
  const auto left = std::chrono::duration_cast<milliseconds>(cold_until_ - steady_clock::now());
  return std::max(left, milliseconds(0));
}

std::string platform_upstream::Load() const {
  return absl::StrFormat("%d,%d,%d,100", running_, queue_.size(), service_.slots);
}

void platform_upstream::SetLimit(double per_second) {
  limit_ = per_second;
  oracles_.upstreams.OnLimit(identity_, per_second, steady_clock::now());
}

void platform_upstream::BeginLeaving(steady_clock::time_point reported_at) {
  is_leaving_ = true;
  leaving_reported_at_ = reported_at;
}

header_list platform_upstream::WithNotice(header_list fields) const {
  fields.emplace_back("Instance-Id", identity_);
  fields.emplace_back("Server-Load", Load());
  if (limit_ >= 0) fields.emplace_back("Server-Limit", absl::StrFormat("%.2f", limit_));
  if (is_leaving_) fields.emplace_back("Server-Leaving", "1");
  return fields;
}

void platform_upstream::RefuseRun(const http_endpoint::responder& respond, int status) {
  respond(status, WithNotice({{"Not-Executed", "1"}}), "");
}

void platform_upstream::Handle(const received_request& request,
                               const http_endpoint::responder& respond) {
  auto work = std::make_shared<job>();
  work->request = request;
  work->respond = respond;
  work->id = request.Field("Attempt-Id");
  const std::string expected = request.Field("Expected-Instance");
  const std::string deadline = request.Field("Deadline-Ms");
  ++arrivals_;
  const auto now = steady_clock::now();
  const class_shape& described = *ClassOf(request);
  oracles_.placement.OnArrival(
      work->id, described.homes.empty() ? region_limit() : region_limit(described.homes),
      identity_, place_.zone, place_.region, now);
  oracles_.accounts.OnArrival(work->id, request.Field("Tenant"), request.Field("X-Api-Key"));
  oracles_.configuration.OnArrival(work->id, identity_, oracles_.upstreams,
                                   steady_clock::now());
  if (!expected.empty() && expected != identity_) {
    RefuseRun(respond, 421);
  } else if (work->id.empty()) {
    RefuseRun(respond, 400);
  } else if (static_cast<int>(queue_.size()) >= service_.queue) {
    RefuseRun(respond, 503);
  } else {
    work->deadline =
        steady_clock::now() + (deadline.empty() ? milliseconds(kDefaultDeadline)
                                                : milliseconds(std::atoll(deadline.c_str())));
    if (running_ < service_.slots) {
      Run(work);
    } else {
      queue_.push_back(work);
    }
  }
}

const class_shape* platform_upstream::ClassOf(const received_request& request) const {
  for (const class_shape& each : site_.classes) {
    const route_place& place = author_.PlaceOf(each.name);
    if (place.host == request.host && request.target.starts_with(place.prefix)) return &each;
  }
  // Routes that were added are like those of the first class.
  return &site_.classes.front();
}

void platform_upstream::Run(const std::shared_ptr<job>& work) {
  ++running_;
  oracles_.accounts.OnRun(work->id, steady_clock::now());
  oracles_.configuration.OnRun(work->id, author_.ServiceName(place_.service),
                               steady_clock::now());
  const class_shape& described = *ClassOf(work->request);
  std::normal_distribution<double> spread(0, 0.3);
  const double work_ms = described.work_ms * std::exp(spread(random_));
  RunAfter(std::chrono::microseconds(static_cast<std::int64_t>(work_ms * 1000)),
           [this, work, &described] {
             std::uniform_real_distribution<double> share(0, 1);
             for (const nested_call_shape& call : described.calls) {
               const class_shape* const nested = site_.FindClass(call.request_class);
               if (nested == nullptr || share(random_) >= call.share) continue;
               for (int i = 0; i < call.times; ++i) Call(work, *nested);
             }
             if (work->open_calls == 0) Finish(work);
           });
}

void platform_upstream::Call(const std::shared_ptr<job>& work, const class_shape& nested) {
  ++work->open_calls;
  const route_place& place = author_.PlaceOf(nested.name);
  const auto left =
      std::chrono::duration_cast<milliseconds>(work->deadline - steady_clock::now());
  const milliseconds allowed = std::min(left, nested.deadline);
  const std::string id = absl::StrFormat("%s.%016x", work->id, random_());
  client_request request;
  request.method = nested.method;
  request.target = place.prefix + std::to_string(++calls_);
  request.headers = {
      {"Host", place.host},
      {"Attempt-Id", id},
      {"Deadline-Ms", std::to_string(std::max<std::int64_t>(1, allowed.count()))}};
  request.reuses_connection = true;
  request.patience = std::max(allowed, milliseconds(1));
  oracles_.configuration.OnRequest(id, place_.name, place.host, request.target, false,
                                   steady_clock::now());
  client_.Send(Address(place_.ip, kOutboundPort), std::move(request),
               [this, work, id](const client_response& response) {
                 oracles_.configuration.OnResponse(id, response.status, steady_clock::now());
                 PassOn(response.headers, place_.name, oracles_.upstreams);
                 if (response.status != 200) work->has_failed = true;
                 if (--work->open_calls == 0) Finish(work);
               });
}

void platform_upstream::Finish(const std::shared_ptr<job>& work) {
  --running_;
  const class_shape& described = *ClassOf(work->request);
  const bool is_late = steady_clock::now() >= work->deadline;
  const int status = is_late ? 504 : work->has_failed ? 500 : 200;
  work->respond(status,
                WithNotice({{"Attempt-Id", work->id},
                            {"Response-Seal", absl::StrFormat("3e1b.07.%s", work->id)}}),
                std::string(static_cast<std::size_t>(described.response_bytes), 'r'));
  while (running_ < service_.slots && !queue_.empty()) {
    const auto next = queue_.front();
    queue_.pop_front();
    if (steady_clock::now() >= next->deadline) {
      RefuseRun(next->respond, 503);
    } else {
      Run(next);
    }
  }
}

}  // namespace bronzeroute::standin
