#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "standins/platform/http_endpoint.h"
#include "standins/platform/store_fault.h"

namespace bronzeroute::standin {

/// The platform's store as far as PROTOCOL.md describes it for a daemon: keyed topics with one
/// partition, append, waiting read, newest record of each key, and a history that expires. What
/// the page leaves open: a topic that was never written is empty. Used on the event loop.
class platform_store {
 public:
  /// Records older than `retention` are deleted; the newest of each key stays readable by key.
  explicit platform_store(std::chrono::milliseconds retention);

  /// Also listens on "ip:port". Not on the event loop.
  absl::Status Start(const std::string& address);
  void Stop();
  /// The operator writes a record; it is confirmed when this returns.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  /// Deletes the history of a topic now.
  void Compact(const std::string& topic);
  /// The fault is one of the callers of `addresses`; empty for all.
  void SetFault(store_fault fault, std::set<std::string> addresses = {});
  /// The store returns with its content of `age` ago. What the operator has written since is
  /// written again. Only copies of the last `kCopiesKept` periods exist.
  void Restore(std::chrono::milliseconds age);
  /// Responds to waiting reads whose time has passed and deletes old records. Call it about
  /// every 20 ms.
  void Tick();
  std::uint64_t calls() const { return calls_; }

 private:
  using clock = std::chrono::steady_clock;
  struct record {
    std::string key;
    std::string value;
    clock::time_point written;
  };
  struct topic_state {
    std::deque<record> records;
    /// Offset of the first record kept.
    std::int64_t first = 0;
    std::map<std::string, std::pair<std::int64_t, std::string>> newest;
    std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
  };
  struct waiting_read {
    std::string address;
    std::string topic;
    std::int64_t from;
    clock::time_point until;
    http_endpoint::responder respond;
  };

  store_fault FaultOf(const std::string& address) const;
  void Handle(const received_request& request, const http_endpoint::responder& respond);
  void Serve(const received_request& request, const http_endpoint::responder& respond);
  void Append(const received_request& request, const http_endpoint::responder& respond);
  void Newest(const received_request& request, const http_endpoint::responder& respond);
  /// True if the read was answered.
  bool TryRead(const waiting_read& read);
  void AnswerWaiting();

  struct copy {
    clock::time_point taken;
    std::map<std::string, topic_state> topics;
  };

  static constexpr std::size_t kCopiesKept = 32;

  std::chrono::milliseconds retention_;
  std::map<std::string, topic_state> topics_;
  std::deque<copy> copies_;
  /// Rises with each restored copy.
  int era_ = 1;
  std::vector<waiting_read> waiting_;
  store_fault fault_ = store_fault::kNone;
  /// Addresses with the fault; empty for all.
  std::set<std::string> faulty_;
  std::uint64_t calls_ = 0;
  /// By the address on which each listens.
  std::map<std::string, std::unique_ptr<http_endpoint>> endpoints_;
};

}  // namespace bronzeroute::standin
