#include "standins/log/log_service.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "standins/common/timer.h"
#include "standins/common/wall_clock.h"

namespace bronzeroute::standin {
namespace {

using web::http::http_request;
using web::http::status_codes;

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr std::int64_t kMaxWaitMs = 30'000;

std::int64_t QueryNumber(const std::map<std::string, std::string>& query,
                         const std::string& key, std::int64_t fallback) {
  const auto found = query.find(key);
  return found == query.end() ? fallback : std::stoll(found->second);
}

}  // namespace

log_service::log_service(const std::string& address, const log_faults& faults)
    : listener_("http://" + address + "/v1"), faults_(faults) {
  listener_.support([this](const http_request& request) { Handle(request); });
}

void log_service::Open() {
  listener_.open().wait();
  ScheduleTick();
}

void log_service::ScheduleTick() {
  RunAfter(kTick, [this] {
    store_.Expire(UnixMs(), faults_.retention_ms);
    RespondToWaiting();
    ScheduleTick();
  });
}

void log_service::Handle(const http_request& request) {
  const auto path = web::uri::split_path(request.relative_uri().path());
  if (path.size() == 1 && path[0] == "faults") {
    HandleFaults(request);
    return;
  }
  if (faults_.delay_ms > 0) {
    RunAfter(std::chrono::milliseconds(faults_.delay_ms),
             [this, request] { Dispatch(request); });
    return;
  }
  Dispatch(request);
}

void log_service::Dispatch(const http_request& request) {
  if (faults_.down) {
    request.reply(status_codes::ServiceUnavailable, "log is unavailable");
    return;
  }
  const auto path = web::uri::split_path(request.relative_uri().path());
  if (path.size() != 3 || path[0] != "streams" || path[2] != "records") {
    request.reply(status_codes::NotFound,
                  "unknown path; expected /v1/streams/NAME/records or /v1/faults");
  } else if (request.method() == web::http::methods::POST) {
    HandleAppend(request, path[1]);
  } else if (request.method() == web::http::methods::GET) {
    HandleRead(request, path[1]);
  } else {
    request.reply(status_codes::MethodNotAllowed, "method not allowed; expected POST or GET");
  }
}

void log_service::HandleAppend(const http_request& request, const std::string& stream) {
  request.extract_vector().then(
      [this, request, stream](const std::vector<unsigned char>& body) {
        const auto offset = store_.Append(stream, std::string(body.begin(), body.end()),
                                          UnixMs(), faults_.appends_per_second);
        if (!offset) {
          request.reply(status_codes::TooManyRequests, "append limit reached");
          return;
        }
        RespondToWaiting();
        if (faults_.lose_answers > 0) {
          --faults_.lose_answers;
          request.reply(status_codes::GatewayTimeout, "response lost");
          return;
        }
        web::json::value reply;
        reply["offset"] = web::json::value::number(*offset);
        request.reply(status_codes::Created, reply);
      });
}

void log_service::HandleRead(const http_request& request, const std::string& stream) {
  const auto query = web::uri::split_query(request.relative_uri().query());
  waiting_read read{request, stream, 0, 0, 0};
  try {
    read.from = QueryNumber(query, "from", 0);
    read.limit = QueryNumber(query, "limit", 1000);
    read.until_ms = UnixMs() + std::min(QueryNumber(query, "wait_ms", 0), kMaxWaitMs);
  } catch (const std::exception&) {
    request.reply(status_codes::BadRequest,
                  "query parameters from, limit and wait_ms must be integers");
    return;
  }
  if (store_.Get(stream).next > read.from || read.until_ms <= UnixMs()) {
    ReplyRead(read);
    return;
  }
  waiting_.push_back(std::move(read));
}

void log_service::ReplyRead(const waiting_read& read) {
  const log_store::stream& stream = store_.Get(read.stream);
  std::vector<web::json::value> records;
  for (const log_store::record& record : stream.records) {
    if (record.offset < read.from || static_cast<std::int64_t>(records.size()) >= read.limit) {
      continue;
    }
    web::json::value row;
    row["offset"] = web::json::value::number(record.offset);
    row["at_ms"] = web::json::value::number(record.at_ms);
    row["data"] = web::json::value::string(utility::conversions::to_base64(
        std::vector<unsigned char>(record.data.begin(), record.data.end())));
    records.push_back(std::move(row));
  }
  web::json::value reply;
  reply["first"] = web::json::value::number(
      stream.records.empty() ? stream.next : stream.records.front().offset);
  reply["next"] = web::json::value::number(stream.next);
  reply["now_ms"] = web::json::value::number(UnixMs());
  reply["retention_ms"] = web::json::value::number(faults_.retention_ms);
  reply["records"] = web::json::value::array(std::move(records));
  const std::string body = reply.serialize();
  ++total_reads_;
  read_bytes_ += static_cast<std::int64_t>(body.size());
  read.request.reply(status_codes::OK, body, "application/json");
}

void log_service::RespondToWaiting() {
  const std::int64_t now_ms = UnixMs();
  for (auto read = waiting_.begin(); read != waiting_.end();) {
    if (faults_.down) {
      read->request.reply(status_codes::ServiceUnavailable, "log is unavailable");
    } else if (store_.Get(read->stream).next > read->from || now_ms >= read->until_ms) {
      ReplyRead(*read);
    } else {
      ++read;
      continue;
    }
    read = waiting_.erase(read);
  }
}

void log_service::HandleFaults(const http_request& request) {
  request.extract_json().then([this, request](const pplx::task<web::json::value>& body) {
    try {
      const web::json::value value = body.get();
      const auto number = [&value](const char* key, std::int64_t& target) {
        if (value.has_field(key)) {
          target = value.at(key).as_number().to_int64();
        }
      };
      if (value.has_field("down")) {
        faults_.down = value.at("down").as_bool();
      }
      number("delay_ms", faults_.delay_ms);
      number("lose_answers", faults_.lose_answers);
      number("retention_ms", faults_.retention_ms);
      number("appends_per_second", faults_.appends_per_second);
      web::json::value reply;
      reply["total_appends"] = web::json::value::number(store_.total_appends());
      reply["total_reads"] = web::json::value::number(total_reads_);
      reply["read_bytes"] = web::json::value::number(read_bytes_);
      request.reply(status_codes::OK, reply);
    } catch (const std::exception& error) {
      request.reply(status_codes::BadRequest, error.what());
    }
  });
}

}  // namespace bronzeroute::standin
