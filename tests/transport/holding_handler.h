#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_connection.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_response_message.h"

namespace bronzeroute {

inline std::string GetRequest(std::string_view path) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

inline std::string PostRequest(std::string_view path, std::string_view body) {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

/// Keeps its requests until the test responds to them; the body of each response is the path of
/// its request in angle brackets.
class holding_handler : public http_request_handler {
 public:
  /// Decides which requests run side by side; by default none.
  std::function<bool(const exchange&)> is_concurrent;

  /// Waits until `count` requests were passed on.
  void Await(std::size_t count) {
    Wait([&] { return requests_.size() >= count; });
  }
  /// Waits until the handler was told of `count` requests whose client left.
  void AwaitDisconnected(std::size_t count) {
    Wait([&] { return disconnected_.size() >= count; });
  }
  /// Waits until `count` responses have ended, which the server has then processed: the client
  /// may have read them before.
  void AwaitEnded(std::size_t count) {
    Wait([&] { return ended_.size() >= count; });
    RunOnLoop([] {});
  }
  std::vector<std::string> Paths() {
    std::vector<std::string> paths;
    RunOnLoop([&] {
      for (const auto& [connection, row] : requests_) paths.push_back(row->path);
    });
    return paths;
  }
  std::vector<std::string> Disconnected() {
    std::vector<std::string> paths;
    RunOnLoop([&] { paths = disconnected_; });
    return paths;
  }
  std::vector<std::string> Ended() {
    std::vector<std::string> paths;
    RunOnLoop([&] { paths = ended_; });
    return paths;
  }
  void Respond(std::size_t index, int status = 200) {
    RunOnLoop([&] {
      const auto [connection, row] = requests_.at(index);
      connection->SendResponse(*row, TextResponse(status, "text/plain", "<" + row->path + ">"));
    });
  }
  void Relay(std::size_t index, http_response_message response) {
    RunOnLoop([&] {
      const auto [connection, row] = requests_.at(index);
      connection->RelayResponse(*row, response);
    });
  }

  bool RunsConcurrently(const exchange& row) override {
    return is_concurrent && is_concurrent(row);
  }
  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& row) override {
    Change([&] { requests_.emplace_back(connection, row); });
  }
  void OnClientDisconnected(const exchange& row) override {
    Change([&] { disconnected_.push_back(row.path); });
  }
  void OnNothingWritten(const exchange& row) override {
    const auto found = std::ranges::find_if(
        requests_, [&row](const auto& each) { return each.second.get() == &row; });
    found->first->SendResponse(row, TextResponse(502, "text/plain", "<cut " + row.path + ">"));
  }
  void OnResponseEnded(const exchange& row) override {
    Change([&] { ended_.push_back(row.path); });
  }

 private:
  static constexpr std::chrono::seconds kWaitLimit{30};

  template <typename Condition>
  void Wait(Condition holds) {
    std::unique_lock<std::mutex> lock(mutex_);
    EXPECT_TRUE(changed_.wait_for(lock, kWaitLimit, holds)) << "not reached in time";
  }
  template <typename Action>
  void Change(Action action) {
    const std::lock_guard<std::mutex> lock(mutex_);
    action();
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  // Written on the event loop, under the mutex.
  std::vector<std::pair<std::shared_ptr<http_connection>, std::shared_ptr<exchange>>> requests_;
  std::vector<std::string> disconnected_;
  std::vector<std::string> ended_;
};

}  // namespace bronzeroute
