#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/transport/raw_socket.h"

namespace bronzeroute {

/// An upstream that passes each raw connection to a handler, on a thread of its own.
class raw_upstream {
 public:
  explicit raw_upstream(std::function<void(raw_socket&)> serve)
      : listener_(raw_socket::Listen(port_)), serve_(std::move(serve)), accepting_([this] {
          for (raw_socket peer = listener_.Accept(); peer.valid(); peer = listener_.Accept()) {
            const std::lock_guard<std::mutex> lock(mutex_);
            raw_socket& held = peers_.emplace_back(std::move(peer));
            serving_.emplace_back([this, &held] { serve_(held); });
          }
        }) {}
  ~raw_upstream() { Stop(); }

  /// Ends all connections and waits for the handlers.
  void Stop() {
    if (!accepting_.joinable()) return;
    listener_.Shutdown();
    accepting_.join();
    for (const raw_socket& peer : peers_) peer.Shutdown();
    for (std::thread& thread : serving_) thread.join();
  }
  /// Connections accepted so far.
  int connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(peers_.size());
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::uint16_t port_ = 0;
  raw_socket listener_;
  std::function<void(raw_socket&)> serve_;
  std::mutex mutex_;
  std::list<raw_socket> peers_;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace bronzeroute
