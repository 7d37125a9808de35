#include "standins/load/load_runner.h"

#include <cstdio>
#include <utility>

#include "standins/common/timer.h"

namespace bronzeroute::standin {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

std::int64_t MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::string HeaderOr(const http_response& response, const char* name) {
  const auto found = response.headers().find(name);
  return found == response.headers().end() ? "" : found->second;
}

}  // namespace

load_runner::load_runner(const load_options& options)
    : options_(options), random_(options.seed) {
  for (const std::string& target : options_.targets) {
    clients_.push_back(std::make_shared<http_client>("http://" + target));
  }
}

std::string_view load_runner::ClassName(call_class kind) {
  constexpr std::array<std::string_view, kClasses> kNames = {"short", "protected", "long"};
  return kNames.at(kind);
}

double load_runner::Rate(call_class kind) const {
  return std::array{options_.short_rate, options_.protected_rate, options_.long_rate}.at(kind);
}

void load_runner::Start() {
  const auto now = clock::now();
  end_ = now + std::chrono::seconds(options_.duration_s);
  for (const call_class kind : {kShort, kProtected, kLong}) {
    if (Rate(kind) > 0) {
      ++open_schedules_;
      ScheduleNext(kind, now);
    }
  }
}

bool load_runner::IsDone() const {
  std::int64_t open = 0;
  for (const class_result& result : results_) {
    open += result.open;
  }
  return open_schedules_ == 0 && open == 0;
}

void load_runner::ScheduleNext(call_class kind, clock::time_point at) {
  std::exponential_distribution<double> gap(Rate(kind));
  const auto next =
      at + std::chrono::microseconds(static_cast<std::int64_t>(gap(random_) * 1e6));
  if (next >= end_) {
    --open_schedules_;
    return;
  }
  const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(next - clock::now());
  RunAfter(std::max(wait, std::chrono::microseconds(0)), [this, kind, next] {
    ScheduleNext(kind, next);
    StartCall(kind);
  });
}

std::string load_runner::OwnKey() {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "own-%016llx",
                static_cast<unsigned long long>(random_()));
  return text.data();
}

void load_runner::StartCall(call_class kind) {
  class_result& result = results_[kind];
  ++result.sent;
  ++result.open;
  const auto started = clock::now();
  const std::size_t target = random_() % clients_.size();
  if (kind != kProtected || options_.keys != "issued") {
    SendCall(kind, target, kind == kProtected && options_.keys == "own" ? OwnKey() : "",
             started);
    return;
  }
  const std::string service = web::uri::split_path(options_.protected_path).at(0);
  clients_[target]
      ->request(web::http::methods::POST, "/.bronzeroute/v1/keys/" + service)
      .then([](const http_response& response) { return response.extract_json(true); })
      .then([this, kind, target, started](const pplx::task<web::json::value>& done) {
        try {
          SendCall(kind, target, done.get().at("key").as_string(), started);
        } catch (const std::exception&) {
          --results_[kind].open;
          ++results_[kind].outcomes["no key"];
        }
      });
}

void load_runner::SendCall(call_class kind, std::size_t target, const std::string& key,
                           clock::time_point started) {
  const std::string mark = std::to_string(options_.seed) + "-" + std::to_string(++sequence_);
  http_request request;
  request.headers().add("X-Echo", mark);
  request.headers().add("Bronzeroute-Deadline-Ms", options_.deadline_ms);
  if (!key.empty()) {
    request.headers().add("Idempotency-Key", key);
  }
  std::int64_t bytes = options_.short_bytes;
  if (kind == kShort) {
    request.set_request_uri(options_.short_path);
    request.set_method(bytes > 0 ? web::http::methods::POST : web::http::methods::GET);
  } else {
    request.set_request_uri(kind == kLong ? options_.long_path : options_.protected_path);
    request.set_method(web::http::methods::POST);
    bytes = kind == kLong ? options_.long_bytes : 200;
  }
  if (bytes > 0) {
    request.set_body(std::vector<unsigned char>(static_cast<std::size_t>(bytes), 'x'));
  }
  // The library may repeat a request by itself on a reused connection, so each protected call
  // uses a new client.
  auto client = kind == kProtected
                    ? std::make_shared<http_client>("http://" + options_.targets[target])
                    : clients_[target];
  client->request(request)
      .then([](const http_response& response) { return response.content_ready(); })
      .then([this, client, kind, started, mark](const pplx::task<http_response>& done) {
        --results_[kind].open;
        try {
          CountResponse(kind, started, done.get(), mark);
        } catch (const std::exception&) {
          ++results_[kind].outcomes["no answer"];
        }
      });
}

void load_runner::CountResponse(call_class kind, clock::time_point started,
                                const http_response& response, const std::string& mark) {
  class_result& result = results_[kind];
  const std::string error = HeaderOr(response, "Bronzeroute-Error");
  if (response.status_code() / 100 == 2) {
    ++result.outcomes["ok"];
    result.latencies_us.push_back(MicrosecondsSince(started));
    if (HeaderOr(response, "X-Echo") != mark) {
      ++result.wrong_answers;
    }
  } else if (!error.empty()) {
    ++result.outcomes[error + "/" + HeaderOr(response, "Bronzeroute-Execution")];
  } else {
    ++result.outcomes["http " + std::to_string(response.status_code())];
  }
}

}  // namespace bronzeroute::standin
