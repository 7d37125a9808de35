#include "standins/worker/worker_service.h"

#include <cpprest/http_client.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <utility>
#include <vector>

#include "standins/common/timer.h"
#include "standins/common/wall_clock.h"
#include "standins/worker/worker_options.h"

namespace bronzeroute::standin {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;

constexpr std::size_t kChunk = 65'536;
constexpr std::size_t kMaxUnread = 1 << 20;
constexpr auto kReaderPoll = std::chrono::milliseconds(1);
constexpr auto kAnnouncePeriod = std::chrono::seconds(2);
constexpr std::int64_t kSpeedShiftPeriodMs = 5;
constexpr char kControlPrefix[] = "standin";

std::string HeaderOr(const http_request& request, const char* name,
                     const std::string& fallback) {
  const auto found = request.headers().find(name);
  return found == request.headers().end() ? fallback : found->second;
}

}  // namespace

struct worker_service::job {
  explicit job(const http_request& received) : request(received) {
    hash = XXH64_createState();
    XXH64_reset(hash, 0);
  }
  ~job() { XXH64_freeState(hash); }
  job(const job&) = delete;
  job& operator=(const job&) = delete;

  http_request request;
  XXH64_state_t* hash;
  std::int64_t bytes = 0;
  std::array<unsigned char, kChunk> buffer{};
};

worker_service::worker_service(const worker_options& options)
    : options_(std::make_unique<worker_options>(options)),
      listener_("http://" + options.listen + "/"),
      random_(options.seed) {
  faults_.service_us = options.service_us;
  listener_.support([this](const http_request& request) { Handle(request); });
}

worker_service::~worker_service() = default;

void worker_service::Open() {
  listener_.open().wait();
  if (!options_->daemon.empty()) {
    Announce();
  }
}

void worker_service::Announce() {
  web::json::value body;
  body["service"] = web::json::value::string(options_->service);
  body["address"] = web::json::value::string(options_->announced.empty() ? options_->listen
                                                                         : options_->announced);
  body["slots"] = web::json::value::number(options_->slots);
  body["connections"] = web::json::value::number(options_->connections);
  auto client = std::make_shared<web::http::client::http_client>("http://" + options_->daemon);
  client->request(web::http::methods::POST, "/.bronzeroute/v1/announce", body)
      .then([client](const pplx::task<http_response>& done) {
        try {
          done.get();
        } catch (const std::exception&) {
          // The daemon may be restarting; the announcement is repeated every two seconds.
        }
      });
  RunAfter(kAnnouncePeriod, [this] { Announce(); });
}

void worker_service::Handle(const http_request& request) {
  const auto path = web::uri::split_path(request.relative_uri().path());
  if (path.size() == 2 && path[0] == kControlPrefix) {
    HandleControl(request, path[1]);
    return;
  }
  if (faults_.shed) {
    request.reply(status_codes::ServiceUnavailable, "shed");
    return;
  }
  ++record_.started;
  const std::string key = HeaderOr(request, "Idempotency-Key", "");
  if (!key.empty()) {
    ++record_.by_key[key];
  }
  const std::string mark = HeaderOr(request, "X-Mark", "");
  if (!mark.empty()) {
    ++record_.by_mark[mark];
  }
  ++record_.in_use;
  record_.max_in_use = std::max(record_.max_in_use, record_.in_use);
  ReadBody(std::make_shared<job>(request));
}

void worker_service::ReadBody(const std::shared_ptr<job>& work) {
  auto buffer = work->request.body().streambuf();
  buffer.getn(work->buffer.data(), kChunk)
      .then([this, work](const pplx::task<std::size_t>& done) {
        std::size_t count = 0;
        try {
          count = done.get();
        } catch (const std::exception&) {
          --record_.in_use;
          return;
        }
        if (count == 0) {
          Work(work);
          return;
        }
        XXH64_update(work->hash, work->buffer.data(), count);
        work->bytes += static_cast<std::int64_t>(count);
        record_.body_bytes += static_cast<std::int64_t>(count);
        ReadBody(work);
      });
}

std::int64_t worker_service::ServiceTimeUs() {
  const std::int64_t now_ms = UnixMs();
  if (faults_.speed_shift > 1.0 && now_ms >= next_speed_shift_ms_) {
    speed_ = std::uniform_real_distribution<double>(1.0, faults_.speed_shift)(random_);
    next_speed_shift_ms_ = now_ms + kSpeedShiftPeriodMs;
  }
  const double mean = static_cast<double>(faults_.service_us) * speed_;
  return static_cast<std::int64_t>(std::uniform_real_distribution<double>(0.7, 1.3)(random_) *
                                   mean);
}

void worker_service::Work(const std::shared_ptr<job>& work) {
  if (faults_.fail_fast) {
    --record_.in_use;
    ++record_.finished;
    work->request.reply(status_codes::InternalError, "failing");
    return;
  }
  if (faults_.hold) {
    held_.push_back(work);
    return;
  }
  const auto query = web::uri::split_query(work->request.relative_uri().query());
  std::int64_t time_us = ServiceTimeUs();
  if (const auto found = query.find("work_us"); found != query.end()) {
    time_us = std::atoll(found->second.c_str());
  }
  RunAfter(std::chrono::microseconds(time_us), [this, work] { Respond(work); });
}

void worker_service::Release() {
  for (const std::shared_ptr<job>& work : std::exchange(held_, {})) Work(work);
}

void worker_service::Respond(const std::shared_ptr<job>& work) {
  --record_.in_use;
  ++record_.finished;
  std::array<char, 17> digest{};
  std::snprintf(digest.data(), digest.size(), "%016llx",
                static_cast<unsigned long long>(XXH64_digest(work->hash)));
  http_response response(status_codes::OK);
  response.headers().add("X-Worker", options_->listen);
  response.headers().add("X-Body-Hash", digest.data());
  const std::string echo = HeaderOr(work->request, "X-Echo", "");
  if (!echo.empty()) {
    response.headers().add("X-Echo", echo);
  }
  const auto query = web::uri::split_query(work->request.relative_uri().query());
  if (const auto found = query.find("download"); found != query.end()) {
    const std::int64_t size = std::atoll(found->second.c_str());
    concurrency::streams::producer_consumer_buffer<std::uint8_t> body;
    response.set_body(body.create_istream(), static_cast<std::uint64_t>(size),
                      "application/octet-stream");
    WriteDownload(body, faults_.cut_response ? size / 2 : size);
  } else {
    response.set_body("worker " + options_->listen + " got " + std::to_string(work->bytes) +
                          " bytes with hash " + digest.data() + "\n",
                      "text/plain");
  }
  work->request.reply(response);
}

void worker_service::WriteDownload(
    concurrency::streams::producer_consumer_buffer<std::uint8_t> body, std::int64_t bytes) {
  // The stream is unbounded, so the next part is written only when the reader has caught up.
  if (body.in_avail() > kMaxUnread) {
    RunAfter(kReaderPoll, [this, body, bytes] { WriteDownload(body, bytes); });
    return;
  }
  if (bytes <= 0) {
    body.close(std::ios_base::out);
    return;
  }
  // Blocking here would deadlock: the only thread also performs the write.
  static const std::vector<std::uint8_t> kPart(kChunk, 'x');
  const auto size = std::min<std::int64_t>(bytes, kChunk);
  body.putn_nocopy(kPart.data(), static_cast<std::size_t>(size))
      .then([this, body, bytes, size](const pplx::task<std::size_t>& done) {
        try {
          done.get();
          WriteDownload(body, bytes - size);
        } catch (const std::exception&) {
          // The reader has closed the connection.
        }
      });
}

void worker_service::HandleControl(const http_request& request, const std::string& action) {
  if (action == "runs") {
    web::json::value keys = web::json::value::object();
    std::int64_t repeated = 0;
    for (const auto& [key, runs] : record_.by_key) {
      keys[key] = web::json::value::number(runs);
      repeated += runs > 1 ? 1 : 0;
    }
    web::json::value marks = web::json::value::object();
    for (const auto& [mark, runs] : record_.by_mark) {
      marks[mark] = web::json::value::number(runs);
    }
    web::json::value reply;
    reply["started"] = web::json::value::number(record_.started);
    reply["finished"] = web::json::value::number(record_.finished);
    reply["body_bytes"] = web::json::value::number(record_.body_bytes);
    reply["in_use"] = web::json::value::number(record_.in_use);
    reply["max_in_use"] = web::json::value::number(record_.max_in_use);
    reply["keys_run_twice"] = web::json::value::number(repeated);
    reply["keys"] = std::move(keys);
    reply["marks"] = std::move(marks);
    request.reply(status_codes::OK, reply);
  } else if (action == "load") {
    web::json::value reply;
    reply["in_use"] = web::json::value::number(faults_.misleading_load ? 0 : record_.in_use);
    reply["slots"] = web::json::value::number(options_->slots);
    request.reply(status_codes::OK, reply);
  } else if (action == "faults") {
    request.extract_json().then([this, request](const pplx::task<web::json::value>& body) {
      try {
        const web::json::value value = body.get();
        const auto flag = [&value](const char* key, bool& target) {
          target = value.has_field(key) ? value.at(key).as_bool() : target;
        };
        flag("fail_fast", faults_.fail_fast);
        flag("shed", faults_.shed);
        flag("hold", faults_.hold);
        flag("cut_response", faults_.cut_response);
        flag("misleading_load", faults_.misleading_load);
        if (value.has_field("service_us")) {
          faults_.service_us = value.at("service_us").as_number().to_int64();
        }
        if (value.has_field("speed_shift")) {
          faults_.speed_shift = value.at("speed_shift").as_double();
        }
        if (!faults_.hold) Release();
        request.reply(status_codes::OK);
      } catch (const std::exception& error) {
        request.reply(status_codes::BadRequest, error.what());
      }
    });
  } else {
    request.reply(status_codes::NotFound, "unknown action; expected runs, load or faults");
  }
}

}  // namespace bronzeroute::standin
