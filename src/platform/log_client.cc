#include "src/platform/log_client.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "src/base/concat.h"

namespace bronzeroute {
namespace {

using web::http::http_request;
using web::http::http_response;

web::http::client::http_client_config Config(std::chrono::milliseconds timeout) {
  web::http::client::http_client_config config;
  config.set_timeout(timeout);
  return config;
}

std::string RecordsPath(std::string_view stream) {
  return Concat("/v1/streams/", web::uri::encode_data_string(std::string(stream)), "/records");
}

absl::Status StatusOf(const http_response& response) {
  const auto code = response.status_code();
  const std::string text = Concat("the log responded with HTTP status ", code);
  if (code == web::http::status_codes::ServiceUnavailable) return absl::UnavailableError(text);
  if (code == web::http::status_codes::TooManyRequests) {
    return absl::ResourceExhaustedError(text);
  }
  return absl::InternalError(text);
}

log_read ParseRead(const web::json::value& body, std::string stream) {
  log_read read;
  read.stream = std::move(stream);
  read.first = body.at("first").as_number().to_int64();
  read.next = body.at("next").as_number().to_int64();
  read.retention_ms = body.at("retention_ms").as_number().to_int64();
  const std::int64_t log_time = body.at("now_ms").as_number().to_int64();
  for (const web::json::value& row : body.at("records").as_array()) {
    log_record record;
    record.offset = row.at("offset").as_number().to_int64();
    record.age_ms =
        std::max<std::int64_t>(0, log_time - row.at("at_ms").as_number().to_int64());
    const std::vector<unsigned char> data =
        utility::conversions::from_base64(row.at("data").as_string());
    record.data.assign(data.begin(), data.end());
    read.records.push_back(std::move(record));
  }
  return read;
}

// Returns the result of `task`, with exceptions converted to statuses.
template <typename Value>
absl::StatusOr<Value> ResultOf(const pplx::task<absl::StatusOr<Value>>& task) {
  try {
    return task.get();
  } catch (const web::json::json_exception& error) {
    return absl::DataLossError(Concat("the log's response cannot be read: ", error.what()));
  } catch (const web::http::http_exception& error) {
    return absl::UnavailableError(Concat("no response from the log: ", error.what()));
  } catch (const std::exception& error) {
    // from_base64 throws std::runtime_error.
    return absl::DataLossError(Concat("the log's response cannot be read: ", error.what()));
  }
}

// Sends `request` and parses the JSON body of a response with status `expected` using `parse`.
template <typename Value, typename Parse>
pplx::task<absl::StatusOr<Value>> Send(web::http::client::http_client& client,
                                       const http_request& request,
                                       web::http::status_code expected, Parse parse) {
  return client.request(request)
      .then([expected, parse](const http_response& response) {
        if (response.status_code() != expected) {
          return pplx::task_from_result<absl::StatusOr<Value>>(StatusOf(response));
        }
        return response.extract_json(true).then(
            [parse](const web::json::value& body) -> absl::StatusOr<Value> {
              return parse(body);
            });
      })
      .then([](const pplx::task<absl::StatusOr<Value>>& task) { return ResultOf(task); });
}

}  // namespace

log_client::log_client(std::string_view address, std::chrono::milliseconds timeout)
    : client_(web::uri(Concat("http://", address)), Config(timeout)) {}

pplx::task<absl::StatusOr<std::int64_t>> log_client::Append(std::string_view stream,
                                                            std::string_view data) {
  http_request request(web::http::methods::POST);
  request.set_request_uri(RecordsPath(stream));
  request.set_body(std::vector<unsigned char>(data.begin(), data.end()));
  return Send<std::int64_t>(
      client_, request, web::http::status_codes::Created,
      [](const web::json::value& body) { return body.at("offset").as_number().to_int64(); });
}

pplx::task<absl::StatusOr<log_read>> log_client::Read(std::string_view stream,
                                                      std::int64_t from, int limit,
                                                      std::chrono::milliseconds wait) {
  http_request request(web::http::methods::GET);
  request.set_request_uri(
      Concat(RecordsPath(stream), "?from=", from, "&limit=", limit, "&wait_ms=", wait.count()));
  return Send<log_read>(client_, request, web::http::status_codes::OK,
                        [name = std::string(stream)](const web::json::value& body) {
                          return ParseRead(body, name);
                        });
}

}  // namespace bronzeroute
