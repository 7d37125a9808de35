#include "standins/platform/platform_store.h"

#include <absl/strings/escaping.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/platform/loop_timer.h"

namespace bronzeroute::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kUsualTime{4};
constexpr milliseconds kSlowTime{240};
constexpr milliseconds kMaxWait{30'000};
constexpr milliseconds kCopyPeriod{500};
constexpr std::size_t kPageItems = 500;
const std::string kOperatorTopic = "keyed.op";
constexpr std::size_t kPageBytes = 1'000'000;

std::string BigEndian(std::uint64_t value, int size) {
  std::string text;
  for (int i = size - 1; i >= 0; --i) text += static_cast<char>(value >> (8 * i) & 0xff);
  return text;
}

std::uint64_t FromBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

}  // namespace

platform_store::platform_store(milliseconds retention) : retention_(retention) {}

absl::Status platform_store::Start(const std::string& address) {
  auto& endpoint = endpoints_[address];
  endpoint = std::make_unique<http_endpoint>(
      [this](const received_request& request, const http_endpoint::responder& respond) {
        Handle(request, respond);
      });
  return endpoint->Start(address);
}

void platform_store::Stop() {
  for (const auto& [address, endpoint] : endpoints_) endpoint->Stop();
}

void platform_store::Put(const std::string& topic, const std::string& key,
                         const std::string& value) {
  topic_state& state = topics_[topic];
  if (value.empty()) {
    state.newest.erase(key);
  } else {
    state.newest[key] = {state.end(), value};
  }
  state.records.push_back({key, value, clock::now()});
  AnswerWaiting();
}

void platform_store::Compact(const std::string& topic) {
  topic_state& state = topics_[topic];
  state.first = state.end();
  state.records.clear();
  AnswerWaiting();
}

void platform_store::Restore(milliseconds age) {
  const auto wanted = clock::now() - age;
  while (copies_.size() > 1 && copies_.back().taken > wanted) copies_.pop_back();
  if (copies_.empty()) return;
  const topic_state written = topics_[kOperatorTopic];
  topics_ = copies_.back().topics;
  copies_.clear();
  ++era_;
  for (const auto& [key, newest] : written.newest) {
    const auto& restored = topics_[kOperatorTopic].newest;
    const auto found = restored.find(key);
    if (found == restored.end() || found->second.second != newest.second) {
      Put(kOperatorTopic, key, newest.second);
    }
  }
}

void platform_store::SetFault(store_fault fault, std::set<std::string> addresses) {
  fault_ = fault;
  faulty_ = std::move(addresses);
  const bool loses_reads = fault == store_fault::kSilent || fault == store_fault::kRestored ||
                           fault == store_fault::kSilentConnections;
  if (loses_reads) {
    std::erase_if(waiting_, [&](const waiting_read& read) {
      return FaultOf(read.address) != store_fault::kNone;
    });
  }
  if (fault != store_fault::kSilentConnections) return;
  for (const auto& [address, endpoint] : endpoints_) {
    if (FaultOf(address) != store_fault::kNone) endpoint->SilenceConnections();
  }
}

store_fault platform_store::FaultOf(const std::string& address) const {
  return faulty_.empty() || faulty_.contains(address) ? fault_ : store_fault::kNone;
}

void platform_store::Tick() {
  const auto oldest = clock::now() - retention_;
  for (auto& [name, state] : topics_) {
    while (!state.records.empty() && state.records.front().written < oldest) {
      state.records.pop_front();
      ++state.first;
    }
  }
  if (copies_.empty() || copies_.back().taken + kCopyPeriod <= clock::now()) {
    copies_.push_back({clock::now(), topics_});
    if (copies_.size() > kCopiesKept) copies_.pop_front();
  }
  AnswerWaiting();
}

void platform_store::Handle(const received_request& request,
                            const http_endpoint::responder& respond) {
  ++calls_;
  // The address to which the caller has connected.
  const store_fault fault = FaultOf(request.host);
  if (fault == store_fault::kSilent || fault == store_fault::kRestored) return;
  const auto with_era = [this, respond](int status, header_list headers,
                                        std::string_view body) {
    headers.emplace_back("Store-Era", std::to_string(era_));
    respond(status, headers, body);
  };
  if (fault == store_fault::kBusy) {
    with_era(503, {}, "{}");
    return;
  }
  RunAfter(fault == store_fault::kSlow ? kSlowTime : kUsualTime,
           [this, request, with_era] { Serve(request, with_era); });
}

void platform_store::Serve(const received_request& request,
                           const http_endpoint::responder& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (request.Parameter("part") != "0") {
    respond(404, {}, R"({"error":"no such partition"})");
  } else if (path == "/api/log-append" && request.method == "POST") {
    Append(request, respond);
  } else if (path == "/api/log-read" && request.method == "GET") {
    const milliseconds wait{std::atoll(request.Parameter("waitMs").c_str())};
    waiting_.push_back({request.host, request.Parameter("topic"),
                        std::atoll(request.Parameter("from").c_str()),
                        clock::now() + std::min(wait, kMaxWait), respond});
    AnswerWaiting();
  } else if (path == "/api/log-newest" && request.method == "GET") {
    Newest(request, respond);
  } else {
    respond(404, {}, R"({"error":"no such call"})");
  }
}

void platform_store::Append(const received_request& request,
                            const http_endpoint::responder& respond) {
  const std::string topic = request.Parameter("topic");
  std::vector<std::pair<std::string, std::string>> records;
  std::string_view rest = request.body;
  while (!rest.empty()) {
    const std::uint64_t size = rest.size() < 4 ? 0 : FromBigEndian(rest.substr(0, 4));
    if (size == 0 || size > rest.size() - 4) {
      respond(400, {}, R"({"error":"a record is cut short"})");
      return;
    }
    const std::string_view content = rest.substr(4, size);
    rest.remove_prefix(4 + size);
    const auto key_size = static_cast<unsigned char>(content.front());
    if (key_size + 1U > content.size()) {
      respond(400, {}, R"({"error":"a key is cut short"})");
      return;
    }
    records.emplace_back(content.substr(1, key_size), content.substr(1 + key_size));
  }
  if (topic == "keyed.op" || topic == "keyed.servers") {
    respond(403, {}, R"({"error":"this topic is written by the operator"})");
    return;
  }
  const std::int64_t offset = topics_[topic].end();
  for (const auto& [key, value] : records) Put(topic, key, value);
  if (FaultOf(request.host) == store_fault::kLostResponses) return;
  respond(200, {}, json{{"offset", offset}, {"end", topics_[topic].end()}}.dump());
}

void platform_store::Newest(const received_request& request,
                            const http_endpoint::responder& respond) {
  const topic_state& state = topics_[request.Parameter("topic")];
  std::string after = request.Parameter("after");
  std::string decoded;
  for (std::size_t i = 0; i < after.size(); ++i) {
    if (after[i] == '%' && i + 2 < after.size()) {
      decoded += absl::HexStringToBytes(after.substr(i + 1, 2));
      i += 2;
    } else {
      decoded += after[i];
    }
  }
  json page = {{"items", json::array()}, {"more", false}, {"end", state.end()}};
  std::size_t bytes = 0;
  for (auto at = decoded.empty() ? state.newest.begin() : state.newest.upper_bound(decoded);
       at != state.newest.end(); ++at) {
    if (page["items"].size() == kPageItems || bytes > kPageBytes) {
      page["more"] = true;
      break;
    }
    std::string value;
    absl::Base64Escape(at->second.second, &value);
    bytes += value.size();
    page["items"].push_back(
        {{"key", at->first}, {"value", std::move(value)}, {"offset", at->second.first}});
  }
  respond(200, {}, page.dump());
}

bool platform_store::TryRead(const waiting_read& read) {
  const topic_state& state = topics_[read.topic];
  if (read.from < state.first || read.from > state.end()) {
    read.respond(410, {}, json{{"first", state.first}}.dump());
    return true;
  }
  if (read.from >= state.end() && clock::now() < read.until) return false;
  std::string body = BigEndian(static_cast<std::uint64_t>(state.end()), 8) +
                     BigEndian(static_cast<std::uint64_t>(state.first), 8);
  for (std::int64_t at = read.from; at < state.end(); ++at) {
    const record& each = state.records[static_cast<std::size_t>(at - state.first)];
    body += BigEndian(1 + each.key.size() + each.value.size(), 4);
    body += BigEndian(each.key.size(), 1);
    body += each.key;
    body += each.value;
  }
  read.respond(200, {}, body);
  return true;
}

void platform_store::AnswerWaiting() {
  std::vector<waiting_read> rest;
  for (waiting_read& each : std::exchange(waiting_, {})) {
    if (!TryRead(each)) rest.push_back(std::move(each));
  }
  waiting_ = std::move(rest);
}

}  // namespace bronzeroute::standin
