#pragma once

#include <cpprest/http_listener.h>
#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/configuration/log_model.h"
#include "tests/configuration/open_listener.h"

namespace bronzeroute {

/// A log service on the loopback interface with the protocol that `log_client` uses, and with
/// faults that tests can switch on.
class log_server {
 public:
  log_server()
      : http_(OpenListener(
            "", [this](const web::http::http_request& request) { Handle(request); })) {}

  ~log_server() {
    for (const web::http::http_request& request : pending_) request.reply(500).wait();
    http_.listener->close().wait();
  }

  log_server(const log_server&) = delete;
  log_server& operator=(const log_server&) = delete;

  const std::string& address() const { return http_.address; }
  log_model& stream(const std::string& name) { return streams_[name]; }

  /// The next `count` appends take effect, but get no response.
  void LoseResponses(int count) { lose_ = count; }
  /// The next `count` appends are refused with `status`.
  void RefuseAppends(int count, web::http::status_code status) {
    refuse_ = count;
    refusal_ = status;
  }
  /// Appends `data` to `stream` immediately before the next append by a client.
  void InsertBeforeAppend(std::string stream, std::string data) {
    insert_ = {std::move(stream), std::move(data)};
  }

 private:
  void Handle(const web::http::http_request& request) {
    const std::lock_guard lock(mutex_);
    const auto path = web::uri::split_path(request.request_uri().path());
    log_model& model = streams_[path.at(2)];
    if (request.method() == web::http::methods::GET) {
      const auto query = web::uri::split_query(request.request_uri().query());
      Reply(request, model.Read(std::stoll(query.at("from")), std::stoull(query.at("limit"))));
      return;
    }
    if (refuse_ > 0) {
      --refuse_;
      request.reply(refusal_);
      return;
    }
    if (insert_) streams_[insert_->first].Append(insert_->second);
    insert_.reset();
    const std::vector<unsigned char> body = request.extract_vector().get();
    const std::int64_t offset = model.Append(std::string(body.begin(), body.end()));
    if (lose_ > 0) {
      --lose_;
      pending_.push_back(request);
      return;
    }
    web::json::value response;
    response["offset"] = offset;
    request.reply(web::http::status_codes::Created, response);
  }

  static void Reply(const web::http::http_request& request, const log_read& read) {
    web::json::value response;
    response["first"] = read.first;
    response["next"] = read.next;
    response["now_ms"] = 100'000;
    response["retention_ms"] = read.retention_ms;
    response["records"] = web::json::value::array();
    for (std::size_t i = 0; i < read.records.size(); ++i) {
      web::json::value row;
      row["offset"] = read.records[i].offset;
      row["at_ms"] = 99'000;
      row["data"] = web::json::value::string(utility::conversions::to_base64(
          {read.records[i].data.begin(), read.records[i].data.end()}));
      response["records"][i] = row;
    }
    request.reply(web::http::status_codes::OK, response);
  }

  std::mutex mutex_;
  std::map<std::string, log_model> streams_;
  std::vector<web::http::http_request> pending_;
  std::optional<std::pair<std::string, std::string>> insert_;
  int lose_ = 0;
  int refuse_ = 0;
  web::http::status_code refusal_ = 0;
  open_listener http_;
};

}  // namespace bronzeroute
