#pragma once

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/store_records.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_connection.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_server.h"
#include "tests/transport/raw_socket.h"

namespace bronzeroute::platform {

/// A fake of the users' store with the calls that a daemon uses: append, waiting read, and the
/// newest record of each key, for topics with one partition. Its faults must be switched on the
/// event loop.
class store_stand_in : private http_request_handler {
 public:
  store_stand_in() : server_(*this), address_("127.0.0.1:" + std::to_string(FreePort())) {
    StartEventLoop();
    status = server_.Start(address_);
  }
  ~store_stand_in() override { server_.Stop(); }

  const std::string& address() const { return address_; }
  absl::Status status;

  /// If set, every request gets a response with this status.
  std::optional<int> refuse_with;
  /// If true, appends take effect but get no response.
  bool loses_responses = false;
  /// Largest number of items on one page of newest records.
  std::size_t page_items = 500;
  int calls = 0;
  /// Named in each response; nothing for a store without eras.
  std::optional<int> era;
  /// Called for each request.
  std::function<void()> on_call = [] {};

  /// Nothing more is sent on the connections that exist now. They stay open.
  void SilenceConnections() { silent_ = connections_; }

  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    std::vector<keyed_record>& records = topics_[topic].records;
    records.push_back({End(topic), key, value});
    RespondToWaiting();
  }
  /// Deletes the history; the newest record of each key can still be read by key.
  void Compact(const std::string& topic) {
    topics_[topic].first = End(topic);
    for (auto& each : std::exchange(waiting_, {})) {
      if (each.topic == topic) SendResponse(*each.connection, 410, "{\"first\":0}");
    }
  }

  /// The store returns from a copy with the first `kept` records of each topic.
  void Restore(std::size_t kept) {
    era = era.value_or(0) + 1;
    for (auto& [name, topic] : topics_) {
      topic.records.resize(std::min(kept, topic.records.size()));
    }
    waiting_.clear();
  }

 private:
  struct topic_state {
    std::vector<keyed_record> records;
    std::int64_t first = 0;
  };
  struct waiting_read {
    std::shared_ptr<http_connection> connection;
    std::string topic;
    std::int64_t from;
    bool is_answered_at_once;
  };

  std::int64_t End(const std::string& topic) {
    return static_cast<std::int64_t>(topics_[topic].records.size());
  }

  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& row) override {
    ++calls;
    connections_.insert(connection);
    on_call();
    if (row->content_length == 0) {
      Serve(connection, *row);
      return;
    }
    row->body->SetReader([this, connection, row = std::weak_ptr(row)] {
      const auto live = row.lock();
      if (live != nullptr && live->body->ended()) Serve(connection, *live);
    });
  }
  void OnClientDisconnected(const exchange& /*row*/) override {}
  void OnNothingWritten(const exchange& /*row*/) override {}
  void OnResponseEnded(const exchange& /*row*/) override {}

  static std::string Parameter(const std::string& path, const std::string& name) {
    const std::size_t at = path.find(name + "=");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
  }

  void Serve(const std::shared_ptr<http_connection>& connection, exchange& row) {
    if (refuse_with) {
      SendResponse(*connection, *refuse_with, "{}");
      return;
    }
    const std::string topic = Parameter(row.path, "topic");
    if (row.path.starts_with("/api/log-append")) {
      std::string body(row.body->Available(), '\0');
      row.body->Take(body.data(), body.size());
      const auto key_size = static_cast<unsigned char>(body.at(4));
      Put(topic, body.substr(5, key_size), body.substr(5 + key_size));
      if (loses_responses) return;
      SendResponse(*connection, 200,
                   absl::StrCat("{\"offset\":", End(topic) - 1, ",\"end\":", End(topic), "}"));
    } else if (row.path.starts_with("/api/log-newest")) {
      SendResponse(*connection, 200, Newest(topic, Parameter(row.path, "after")));
    } else if (row.path.starts_with("/api/log-read")) {
      waiting_.push_back({connection, topic, std::stoll(Parameter(row.path, "from")),
                          Parameter(row.path, "waitMs") == "0"});
      RespondToWaiting();
    } else {
      SendResponse(*connection, 404, "{}");
    }
  }

  std::string Newest(const std::string& topic, const std::string& after) {
    std::map<std::string, keyed_record> newest;
    for (const keyed_record& record : topics_[topic].records) newest[record.key] = record;
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, record] : newest) {
      if (key <= after || record.value.empty()) continue;
      if (count++ == page_items) {
        more = true;
        break;
      }
      absl::StrAppend(&items, items.empty() ? "" : ",", "{\"key\":\"", key, "\",\"value\":\"",
                      absl::Base64Escape(record.value), "\",\"offset\":", record.offset, "}");
    }
    return absl::StrCat("{\"items\":[", items, "],\"more\":", more ? "true" : "false",
                        ",\"end\":", End(topic), "}");
  }

  void RespondToWaiting() {
    std::vector<waiting_read> rest;
    for (waiting_read& each : std::exchange(waiting_, {})) {
      const topic_state& topic = topics_[each.topic];
      if (each.from < topic.first || each.from > End(each.topic)) {
        SendResponse(*each.connection, 410, absl::StrCat("{\"first\":", topic.first, "}"));
      } else if (each.from < End(each.topic) || each.is_answered_at_once) {
        std::string body = Number(End(each.topic), 8) + Number(topic.first, 8);
        for (std::int64_t at = each.from; at < End(each.topic); ++at) {
          const keyed_record& record = topic.records[static_cast<std::size_t>(at)];
          body += EncodeRecord(record.key, record.value);
        }
        SendResponse(*each.connection, 200, body);
      } else {
        rest.push_back(std::move(each));
      }
    }
    waiting_ = std::move(rest);
  }

  static std::string Number(std::int64_t value, int size) {
    std::string text;
    for (int i = size - 1; i >= 0; --i) text += static_cast<char>(value >> (8 * i) & 0xff);
    return text;
  }

  void SendResponse(http_connection& connection, int status, std::string_view body) {
    if (silent_.contains(connection.shared_from_this())) return;
    http_response_message response = TextResponse(status, "application/json", body);
    if (era) response.headers.emplace_back("Store-Era", std::to_string(*era));
    connection.SendResponse(response);
  }

  http_server server_;
  std::string address_;
  std::map<std::string, topic_state> topics_;
  std::vector<waiting_read> waiting_;
  std::set<std::shared_ptr<http_connection>> connections_;
  std::set<std::shared_ptr<http_connection>> silent_;
};

}  // namespace bronzeroute::platform
